/* Generated SBE (Simple Binary Encoding) message codec. */
package slateslip.protocol.distribution.newer;

import org.agrona.MutableDirectBuffer;
import org.agrona.DirectBuffer;

@SuppressWarnings("all")
public final class SessionsEncoder
{
    public static final int BLOCK_LENGTH = 10;
    public static final int TEMPLATE_ID = 13;
    public static final int SCHEMA_ID = 101;
    public static final int SCHEMA_VERSION = 1;
    public static final String SEMANTIC_VERSION = "1.0";
    public static final java.nio.ByteOrder BYTE_ORDER = java.nio.ByteOrder.LITTLE_ENDIAN;

    private final SessionsEncoder parentMessage = this;
    private MutableDirectBuffer buffer;
    private int offset;
    private int limit;

    public int sbeBlockLength()
    {
        return BLOCK_LENGTH;
    }

    public int sbeTemplateId()
    {
        return TEMPLATE_ID;
    }

    public int sbeSchemaId()
    {
        return SCHEMA_ID;
    }

    public int sbeSchemaVersion()
    {
        return SCHEMA_VERSION;
    }

    public String sbeSemanticType()
    {
        return "";
    }

    public MutableDirectBuffer buffer()
    {
        return buffer;
    }

    public int offset()
    {
        return offset;
    }

    public SessionsEncoder wrap(final MutableDirectBuffer buffer, final int offset)
    {
        if (buffer != this.buffer)
        {
            this.buffer = buffer;
        }
        this.offset = offset;
        limit(offset + BLOCK_LENGTH);

        return this;
    }

    public SessionsEncoder wrapAndApplyHeader(
        final MutableDirectBuffer buffer, final int offset, final MessageHeaderEncoder headerEncoder)
    {
        headerEncoder
            .wrap(buffer, offset)
            .blockLength(BLOCK_LENGTH)
            .templateId(TEMPLATE_ID)
            .schemaId(SCHEMA_ID)
            .version(SCHEMA_VERSION);

        return wrap(buffer, offset + MessageHeaderEncoder.ENCODED_LENGTH);
    }

    public int encodedLength()
    {
        return limit - offset;
    }

    public int limit()
    {
        return limit;
    }

    public void limit(final int limit)
    {
        this.limit = limit;
    }

    public static int revisionId()
    {
        return 1;
    }

    public static int revisionSinceVersion()
    {
        return 0;
    }

    public static int revisionEncodingOffset()
    {
        return 0;
    }

    public static int revisionEncodingLength()
    {
        return 8;
    }

    public static String revisionMetaAttribute(final MetaAttribute metaAttribute)
    {
        if (MetaAttribute.PRESENCE == metaAttribute)
        {
            return "required";
        }

        return "";
    }

    public static long revisionNullValue()
    {
        return -9223372036854775808L;
    }

    public static long revisionMinValue()
    {
        return -9223372036854775807L;
    }

    public static long revisionMaxValue()
    {
        return 9223372036854775807L;
    }

    public SessionsEncoder revision(final long value)
    {
        buffer.putLong(offset + 0, value, BYTE_ORDER);
        return this;
    }


    public static int wholeId()
    {
        return 2;
    }

    public static int wholeSinceVersion()
    {
        return 0;
    }

    public static int wholeEncodingOffset()
    {
        return 8;
    }

    public static int wholeEncodingLength()
    {
        return 1;
    }

    public static String wholeMetaAttribute(final MetaAttribute metaAttribute)
    {
        if (MetaAttribute.PRESENCE == metaAttribute)
        {
            return "required";
        }

        return "";
    }

    public SessionsEncoder whole(final Flag value)
    {
        buffer.putByte(offset + 8, (byte)value.value());
        return this;
    }

    public static int completeId()
    {
        return 3;
    }

    public static int completeSinceVersion()
    {
        return 0;
    }

    public static int completeEncodingOffset()
    {
        return 9;
    }

    public static int completeEncodingLength()
    {
        return 1;
    }

    public static String completeMetaAttribute(final MetaAttribute metaAttribute)
    {
        if (MetaAttribute.PRESENCE == metaAttribute)
        {
            return "required";
        }

        return "";
    }

    public SessionsEncoder complete(final Flag value)
    {
        buffer.putByte(offset + 9, (byte)value.value());
        return this;
    }

    private final ChangedEncoder changed = new ChangedEncoder(this);

    public static long changedId()
    {
        return 4;
    }

    public ChangedEncoder changedCount(final int count)
    {
        changed.wrap(buffer, count);
        return changed;
    }

    public static final class ChangedEncoder
    {
        public static final int HEADER_SIZE = 4;
        private final SessionsEncoder parentMessage;
        private MutableDirectBuffer buffer;
        private int count;
        private int index;
        private int offset;
        private int initialLimit;

        ChangedEncoder(final SessionsEncoder parentMessage)
        {
            this.parentMessage = parentMessage;
        }

        public void wrap(final MutableDirectBuffer buffer, final int count)
        {
            if (count < 0 || count > 65534)
            {
                throw new IllegalArgumentException("count outside allowed range: count=" + count);
            }

            if (buffer != this.buffer)
            {
                this.buffer = buffer;
            }

            index = 0;
            this.count = count;
            final int limit = parentMessage.limit();
            initialLimit = limit;
            parentMessage.limit(limit + HEADER_SIZE);
            buffer.putShort(limit + 0, (short)25, BYTE_ORDER);
            buffer.putShort(limit + 2, (short)count, BYTE_ORDER);
        }

        public ChangedEncoder next()
        {
            if (index >= count)
            {
                throw new java.util.NoSuchElementException();
            }

            offset = parentMessage.limit();
            parentMessage.limit(offset + sbeBlockLength());
            ++index;

            return this;
        }

        public int resetCountToIndex()
        {
            count = index;
            buffer.putShort(initialLimit + 2, (short)count, BYTE_ORDER);

            return count;
        }

        public static int countMinValue()
        {
            return 0;
        }

        public static int countMaxValue()
        {
            return 65534;
        }

        public static int sbeHeaderSize()
        {
            return HEADER_SIZE;
        }

        public static int sbeBlockLength()
        {
            return 25;
        }

        public static int slotsId()
        {
            return 5;
        }

        public static int slotsSinceVersion()
        {
            return 0;
        }

        public static int slotsEncodingOffset()
        {
            return 0;
        }

        public static int slotsEncodingLength()
        {
            return 4;
        }

        public static String slotsMetaAttribute(final MetaAttribute metaAttribute)
        {
            if (MetaAttribute.PRESENCE == metaAttribute)
            {
                return "required";
            }

            return "";
        }

        public static int slotsNullValue()
        {
            return -2147483648;
        }

        public static int slotsMinValue()
        {
            return -2147483647;
        }

        public static int slotsMaxValue()
        {
            return 2147483647;
        }

        public ChangedEncoder slots(final int value)
        {
            buffer.putInt(offset + 0, value, BYTE_ORDER);
            return this;
        }


        public static int drainingId()
        {
            return 6;
        }

        public static int drainingSinceVersion()
        {
            return 0;
        }

        public static int drainingEncodingOffset()
        {
            return 4;
        }

        public static int drainingEncodingLength()
        {
            return 1;
        }

        public static String drainingMetaAttribute(final MetaAttribute metaAttribute)
        {
            if (MetaAttribute.PRESENCE == metaAttribute)
            {
                return "required";
            }

            return "";
        }

        public ChangedEncoder draining(final Flag value)
        {
            buffer.putByte(offset + 4, (byte)value.value());
            return this;
        }

        public static int coldLeftMillisId()
        {
            return 7;
        }

        public static int coldLeftMillisSinceVersion()
        {
            return 0;
        }

        public static int coldLeftMillisEncodingOffset()
        {
            return 5;
        }

        public static int coldLeftMillisEncodingLength()
        {
            return 8;
        }

        public static String coldLeftMillisMetaAttribute(final MetaAttribute metaAttribute)
        {
            if (MetaAttribute.PRESENCE == metaAttribute)
            {
                return "required";
            }

            return "";
        }

        public static long coldLeftMillisNullValue()
        {
            return -9223372036854775808L;
        }

        public static long coldLeftMillisMinValue()
        {
            return -9223372036854775807L;
        }

        public static long coldLeftMillisMaxValue()
        {
            return 9223372036854775807L;
        }

        public ChangedEncoder coldLeftMillis(final long value)
        {
            buffer.putLong(offset + 5, value, BYTE_ORDER);
            return this;
        }


        public static int sequenceId()
        {
            return 8;
        }

        public static int sequenceSinceVersion()
        {
            return 0;
        }

        public static int sequenceEncodingOffset()
        {
            return 13;
        }

        public static int sequenceEncodingLength()
        {
            return 8;
        }

        public static String sequenceMetaAttribute(final MetaAttribute metaAttribute)
        {
            if (MetaAttribute.PRESENCE == metaAttribute)
            {
                return "required";
            }

            return "";
        }

        public static long sequenceNullValue()
        {
            return -9223372036854775808L;
        }

        public static long sequenceMinValue()
        {
            return -9223372036854775807L;
        }

        public static long sequenceMaxValue()
        {
            return 9223372036854775807L;
        }

        public ChangedEncoder sequence(final long value)
        {
            buffer.putLong(offset + 13, value, BYTE_ORDER);
            return this;
        }


        public static int weightId()
        {
            return 100;
        }

        public static int weightSinceVersion()
        {
            return 1;
        }

        public static int weightEncodingOffset()
        {
            return 21;
        }

        public static int weightEncodingLength()
        {
            return 4;
        }

        public static String weightMetaAttribute(final MetaAttribute metaAttribute)
        {
            if (MetaAttribute.PRESENCE == metaAttribute)
            {
                return "required";
            }

            return "";
        }

        public static int weightNullValue()
        {
            return -2147483648;
        }

        public static int weightMinValue()
        {
            return -2147483647;
        }

        public static int weightMaxValue()
        {
            return 2147483647;
        }

        public ChangedEncoder weight(final int value)
        {
            buffer.putInt(offset + 21, value, BYTE_ORDER);
            return this;
        }


        public static int instanceId()
        {
            return 9;
        }

        public static String instanceCharacterEncoding()
        {
            return java.nio.charset.StandardCharsets.UTF_8.name();
        }

        public static String instanceMetaAttribute(final MetaAttribute metaAttribute)
        {
            if (MetaAttribute.PRESENCE == metaAttribute)
            {
                return "required";
            }

            return "";
        }

        public static int instanceHeaderLength()
        {
            return 2;
        }

        public ChangedEncoder putInstance(final DirectBuffer src, final int srcOffset, final int length)
        {
            if (length > 65534)
            {
                throw new IllegalStateException("length > maxValue for type: " + length);
            }

            final int headerLength = 2;
            final int limit = parentMessage.limit();
            parentMessage.limit(limit + headerLength + length);
            buffer.putShort(limit, (short)length, BYTE_ORDER);
            buffer.putBytes(limit + headerLength, src, srcOffset, length);

            return this;
        }

        public ChangedEncoder putInstance(final byte[] src, final int srcOffset, final int length)
        {
            if (length > 65534)
            {
                throw new IllegalStateException("length > maxValue for type: " + length);
            }

            final int headerLength = 2;
            final int limit = parentMessage.limit();
            parentMessage.limit(limit + headerLength + length);
            buffer.putShort(limit, (short)length, BYTE_ORDER);
            buffer.putBytes(limit + headerLength, src, srcOffset, length);

            return this;
        }

        public ChangedEncoder instance(final String value)
        {
            final byte[] bytes = (null == value || value.isEmpty()) ? org.agrona.collections.ArrayUtil.EMPTY_BYTE_ARRAY : value.getBytes(java.nio.charset.StandardCharsets.UTF_8);

            final int length = bytes.length;
            if (length > 65534)
            {
                throw new IllegalStateException("length > maxValue for type: " + length);
            }

            final int headerLength = 2;
            final int limit = parentMessage.limit();
            parentMessage.limit(limit + headerLength + length);
            buffer.putShort(limit, (short)length, BYTE_ORDER);
            buffer.putBytes(limit + headerLength, bytes, 0, length);

            return this;
        }

        public static int serviceId()
        {
            return 10;
        }

        public static String serviceCharacterEncoding()
        {
            return java.nio.charset.StandardCharsets.UTF_8.name();
        }

        public static String serviceMetaAttribute(final MetaAttribute metaAttribute)
        {
            if (MetaAttribute.PRESENCE == metaAttribute)
            {
                return "required";
            }

            return "";
        }

        public static int serviceHeaderLength()
        {
            return 2;
        }

        public ChangedEncoder putService(final DirectBuffer src, final int srcOffset, final int length)
        {
            if (length > 65534)
            {
                throw new IllegalStateException("length > maxValue for type: " + length);
            }

            final int headerLength = 2;
            final int limit = parentMessage.limit();
            parentMessage.limit(limit + headerLength + length);
            buffer.putShort(limit, (short)length, BYTE_ORDER);
            buffer.putBytes(limit + headerLength, src, srcOffset, length);

            return this;
        }

        public ChangedEncoder putService(final byte[] src, final int srcOffset, final int length)
        {
            if (length > 65534)
            {
                throw new IllegalStateException("length > maxValue for type: " + length);
            }

            final int headerLength = 2;
            final int limit = parentMessage.limit();
            parentMessage.limit(limit + headerLength + length);
            buffer.putShort(limit, (short)length, BYTE_ORDER);
            buffer.putBytes(limit + headerLength, src, srcOffset, length);

            return this;
        }

        public ChangedEncoder service(final String value)
        {
            final byte[] bytes = (null == value || value.isEmpty()) ? org.agrona.collections.ArrayUtil.EMPTY_BYTE_ARRAY : value.getBytes(java.nio.charset.StandardCharsets.UTF_8);

            final int length = bytes.length;
            if (length > 65534)
            {
                throw new IllegalStateException("length > maxValue for type: " + length);
            }

            final int headerLength = 2;
            final int limit = parentMessage.limit();
            parentMessage.limit(limit + headerLength + length);
            buffer.putShort(limit, (short)length, BYTE_ORDER);
            buffer.putBytes(limit + headerLength, bytes, 0, length);

            return this;
        }

        public static int addressId()
        {
            return 11;
        }

        public static String addressCharacterEncoding()
        {
            return java.nio.charset.StandardCharsets.UTF_8.name();
        }

        public static String addressMetaAttribute(final MetaAttribute metaAttribute)
        {
            if (MetaAttribute.PRESENCE == metaAttribute)
            {
                return "required";
            }

            return "";
        }

        public static int addressHeaderLength()
        {
            return 2;
        }

        public ChangedEncoder putAddress(final DirectBuffer src, final int srcOffset, final int length)
        {
            if (length > 65534)
            {
                throw new IllegalStateException("length > maxValue for type: " + length);
            }

            final int headerLength = 2;
            final int limit = parentMessage.limit();
            parentMessage.limit(limit + headerLength + length);
            buffer.putShort(limit, (short)length, BYTE_ORDER);
            buffer.putBytes(limit + headerLength, src, srcOffset, length);

            return this;
        }

        public ChangedEncoder putAddress(final byte[] src, final int srcOffset, final int length)
        {
            if (length > 65534)
            {
                throw new IllegalStateException("length > maxValue for type: " + length);
            }

            final int headerLength = 2;
            final int limit = parentMessage.limit();
            parentMessage.limit(limit + headerLength + length);
            buffer.putShort(limit, (short)length, BYTE_ORDER);
            buffer.putBytes(limit + headerLength, src, srcOffset, length);

            return this;
        }

        public ChangedEncoder address(final String value)
        {
            final byte[] bytes = (null == value || value.isEmpty()) ? org.agrona.collections.ArrayUtil.EMPTY_BYTE_ARRAY : value.getBytes(java.nio.charset.StandardCharsets.UTF_8);

            final int length = bytes.length;
            if (length > 65534)
            {
                throw new IllegalStateException("length > maxValue for type: " + length);
            }

            final int headerLength = 2;
            final int limit = parentMessage.limit();
            parentMessage.limit(limit + headerLength + length);
            buffer.putShort(limit, (short)length, BYTE_ORDER);
            buffer.putBytes(limit + headerLength, bytes, 0, length);

            return this;
        }

        public static int zoneId()
        {
            return 12;
        }

        public static String zoneCharacterEncoding()
        {
            return java.nio.charset.StandardCharsets.UTF_8.name();
        }

        public static String zoneMetaAttribute(final MetaAttribute metaAttribute)
        {
            if (MetaAttribute.PRESENCE == metaAttribute)
            {
                return "required";
            }

            return "";
        }

        public static int zoneHeaderLength()
        {
            return 2;
        }

        public ChangedEncoder putZone(final DirectBuffer src, final int srcOffset, final int length)
        {
            if (length > 65534)
            {
                throw new IllegalStateException("length > maxValue for type: " + length);
            }

            final int headerLength = 2;
            final int limit = parentMessage.limit();
            parentMessage.limit(limit + headerLength + length);
            buffer.putShort(limit, (short)length, BYTE_ORDER);
            buffer.putBytes(limit + headerLength, src, srcOffset, length);

            return this;
        }

        public ChangedEncoder putZone(final byte[] src, final int srcOffset, final int length)
        {
            if (length > 65534)
            {
                throw new IllegalStateException("length > maxValue for type: " + length);
            }

            final int headerLength = 2;
            final int limit = parentMessage.limit();
            parentMessage.limit(limit + headerLength + length);
            buffer.putShort(limit, (short)length, BYTE_ORDER);
            buffer.putBytes(limit + headerLength, src, srcOffset, length);

            return this;
        }

        public ChangedEncoder zone(final String value)
        {
            final byte[] bytes = (null == value || value.isEmpty()) ? org.agrona.collections.ArrayUtil.EMPTY_BYTE_ARRAY : value.getBytes(java.nio.charset.StandardCharsets.UTF_8);

            final int length = bytes.length;
            if (length > 65534)
            {
                throw new IllegalStateException("length > maxValue for type: " + length);
            }

            final int headerLength = 2;
            final int limit = parentMessage.limit();
            parentMessage.limit(limit + headerLength + length);
            buffer.putShort(limit, (short)length, BYTE_ORDER);
            buffer.putBytes(limit + headerLength, bytes, 0, length);

            return this;
        }

        public static int softwareId()
        {
            return 13;
        }

        public static String softwareCharacterEncoding()
        {
            return java.nio.charset.StandardCharsets.UTF_8.name();
        }

        public static String softwareMetaAttribute(final MetaAttribute metaAttribute)
        {
            if (MetaAttribute.PRESENCE == metaAttribute)
            {
                return "required";
            }

            return "";
        }

        public static int softwareHeaderLength()
        {
            return 2;
        }

        public ChangedEncoder putSoftware(final DirectBuffer src, final int srcOffset, final int length)
        {
            if (length > 65534)
            {
                throw new IllegalStateException("length > maxValue for type: " + length);
            }

            final int headerLength = 2;
            final int limit = parentMessage.limit();
            parentMessage.limit(limit + headerLength + length);
            buffer.putShort(limit, (short)length, BYTE_ORDER);
            buffer.putBytes(limit + headerLength, src, srcOffset, length);

            return this;
        }

        public ChangedEncoder putSoftware(final byte[] src, final int srcOffset, final int length)
        {
            if (length > 65534)
            {
                throw new IllegalStateException("length > maxValue for type: " + length);
            }

            final int headerLength = 2;
            final int limit = parentMessage.limit();
            parentMessage.limit(limit + headerLength + length);
            buffer.putShort(limit, (short)length, BYTE_ORDER);
            buffer.putBytes(limit + headerLength, src, srcOffset, length);

            return this;
        }

        public ChangedEncoder software(final String value)
        {
            final byte[] bytes = (null == value || value.isEmpty()) ? org.agrona.collections.ArrayUtil.EMPTY_BYTE_ARRAY : value.getBytes(java.nio.charset.StandardCharsets.UTF_8);

            final int length = bytes.length;
            if (length > 65534)
            {
                throw new IllegalStateException("length > maxValue for type: " + length);
            }

            final int headerLength = 2;
            final int limit = parentMessage.limit();
            parentMessage.limit(limit + headerLength + length);
            buffer.putShort(limit, (short)length, BYTE_ORDER);
            buffer.putBytes(limit + headerLength, bytes, 0, length);

            return this;
        }
    }

    private final GoneEncoder gone = new GoneEncoder(this);

    public static long goneId()
    {
        return 14;
    }

    public GoneEncoder goneCount(final int count)
    {
        gone.wrap(buffer, count);
        return gone;
    }

    public static final class GoneEncoder
    {
        public static final int HEADER_SIZE = 4;
        private final SessionsEncoder parentMessage;
        private MutableDirectBuffer buffer;
        private int count;
        private int index;
        private int offset;
        private int initialLimit;

        GoneEncoder(final SessionsEncoder parentMessage)
        {
            this.parentMessage = parentMessage;
        }

        public void wrap(final MutableDirectBuffer buffer, final int count)
        {
            if (count < 0 || count > 65534)
            {
                throw new IllegalArgumentException("count outside allowed range: count=" + count);
            }

            if (buffer != this.buffer)
            {
                this.buffer = buffer;
            }

            index = 0;
            this.count = count;
            final int limit = parentMessage.limit();
            initialLimit = limit;
            parentMessage.limit(limit + HEADER_SIZE);
            buffer.putShort(limit + 0, (short)0, BYTE_ORDER);
            buffer.putShort(limit + 2, (short)count, BYTE_ORDER);
        }

        public GoneEncoder next()
        {
            if (index >= count)
            {
                throw new java.util.NoSuchElementException();
            }

            offset = parentMessage.limit();
            parentMessage.limit(offset + sbeBlockLength());
            ++index;

            return this;
        }

        public int resetCountToIndex()
        {
            count = index;
            buffer.putShort(initialLimit + 2, (short)count, BYTE_ORDER);

            return count;
        }

        public static int countMinValue()
        {
            return 0;
        }

        public static int countMaxValue()
        {
            return 65534;
        }

        public static int sbeHeaderSize()
        {
            return HEADER_SIZE;
        }

        public static int sbeBlockLength()
        {
            return 0;
        }

        public static int instanceId()
        {
            return 15;
        }

        public static String instanceCharacterEncoding()
        {
            return java.nio.charset.StandardCharsets.UTF_8.name();
        }

        public static String instanceMetaAttribute(final MetaAttribute metaAttribute)
        {
            if (MetaAttribute.PRESENCE == metaAttribute)
            {
                return "required";
            }

            return "";
        }

        public static int instanceHeaderLength()
        {
            return 2;
        }

        public GoneEncoder putInstance(final DirectBuffer src, final int srcOffset, final int length)
        {
            if (length > 65534)
            {
                throw new IllegalStateException("length > maxValue for type: " + length);
            }

            final int headerLength = 2;
            final int limit = parentMessage.limit();
            parentMessage.limit(limit + headerLength + length);
            buffer.putShort(limit, (short)length, BYTE_ORDER);
            buffer.putBytes(limit + headerLength, src, srcOffset, length);

            return this;
        }

        public GoneEncoder putInstance(final byte[] src, final int srcOffset, final int length)
        {
            if (length > 65534)
            {
                throw new IllegalStateException("length > maxValue for type: " + length);
            }

            final int headerLength = 2;
            final int limit = parentMessage.limit();
            parentMessage.limit(limit + headerLength + length);
            buffer.putShort(limit, (short)length, BYTE_ORDER);
            buffer.putBytes(limit + headerLength, src, srcOffset, length);

            return this;
        }

        public GoneEncoder instance(final String value)
        {
            final byte[] bytes = (null == value || value.isEmpty()) ? org.agrona.collections.ArrayUtil.EMPTY_BYTE_ARRAY : value.getBytes(java.nio.charset.StandardCharsets.UTF_8);

            final int length = bytes.length;
            if (length > 65534)
            {
                throw new IllegalStateException("length > maxValue for type: " + length);
            }

            final int headerLength = 2;
            final int limit = parentMessage.limit();
            parentMessage.limit(limit + headerLength + length);
            buffer.putShort(limit, (short)length, BYTE_ORDER);
            buffer.putBytes(limit + headerLength, bytes, 0, length);

            return this;
        }
    }

    public String toString()
    {
        if (null == buffer)
        {
            return "";
        }

        return appendTo(new StringBuilder()).toString();
    }

    public StringBuilder appendTo(final StringBuilder builder)
    {
        if (null == buffer)
        {
            return builder;
        }

        final SessionsDecoder decoder = new SessionsDecoder();
        decoder.wrap(buffer, offset, BLOCK_LENGTH, SCHEMA_VERSION);

        return decoder.appendTo(builder);
    }
}
