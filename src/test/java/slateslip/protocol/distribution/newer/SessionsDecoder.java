/* Generated SBE (Simple Binary Encoding) message codec. */
package slateslip.protocol.distribution.newer;

import org.agrona.MutableDirectBuffer;
import org.agrona.DirectBuffer;

@SuppressWarnings("all")
public final class SessionsDecoder
{
    public static final int BLOCK_LENGTH = 10;
    public static final int TEMPLATE_ID = 13;
    public static final int SCHEMA_ID = 101;
    public static final int SCHEMA_VERSION = 1;
    public static final String SEMANTIC_VERSION = "1.0";
    public static final java.nio.ByteOrder BYTE_ORDER = java.nio.ByteOrder.LITTLE_ENDIAN;

    private final SessionsDecoder parentMessage = this;
    private DirectBuffer buffer;
    private int offset;
    private int limit;
    int actingBlockLength;
    int actingVersion;

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

    public DirectBuffer buffer()
    {
        return buffer;
    }

    public int offset()
    {
        return offset;
    }

    public SessionsDecoder wrap(
        final DirectBuffer buffer,
        final int offset,
        final int actingBlockLength,
        final int actingVersion)
    {
        if (buffer != this.buffer)
        {
            this.buffer = buffer;
        }
        this.offset = offset;
        this.actingBlockLength = actingBlockLength;
        this.actingVersion = actingVersion;
        limit(offset + actingBlockLength);

        return this;
    }

    public SessionsDecoder wrapAndApplyHeader(
        final DirectBuffer buffer,
        final int offset,
        final MessageHeaderDecoder headerDecoder)
    {
        headerDecoder.wrap(buffer, offset);

        final int templateId = headerDecoder.templateId();
        if (TEMPLATE_ID != templateId)
        {
            throw new IllegalStateException("Invalid TEMPLATE_ID: " + templateId);
        }

        return wrap(
            buffer,
            offset + MessageHeaderDecoder.ENCODED_LENGTH,
            headerDecoder.blockLength(),
            headerDecoder.version());
    }

    public SessionsDecoder sbeRewind()
    {
        return wrap(buffer, offset, actingBlockLength, actingVersion);
    }

    public int sbeDecodedLength()
    {
        final int currentLimit = limit();
        sbeSkip();
        final int decodedLength = encodedLength();
        limit(currentLimit);

        return decodedLength;
    }

    public int actingVersion()
    {
        return actingVersion;
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

    public long revision()
    {
        return buffer.getLong(offset + 0, BYTE_ORDER);
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

    public short wholeRaw()
    {
        return ((short)(buffer.getByte(offset + 8) & 0xFF));
    }

    public Flag whole()
    {
        return Flag.get(((short)(buffer.getByte(offset + 8) & 0xFF)));
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

    public short completeRaw()
    {
        return ((short)(buffer.getByte(offset + 9) & 0xFF));
    }

    public Flag complete()
    {
        return Flag.get(((short)(buffer.getByte(offset + 9) & 0xFF)));
    }


    private final ChangedDecoder changed = new ChangedDecoder(this);

    public static long changedDecoderId()
    {
        return 4;
    }

    public static int changedDecoderSinceVersion()
    {
        return 0;
    }

    public ChangedDecoder changed()
    {
        changed.wrap(buffer);
        return changed;
    }

    public static final class ChangedDecoder
        implements Iterable<ChangedDecoder>, java.util.Iterator<ChangedDecoder>
    {
        public static final int HEADER_SIZE = 4;
        private final SessionsDecoder parentMessage;
        private DirectBuffer buffer;
        private int count;
        private int index;
        private int offset;
        private int blockLength;

        ChangedDecoder(final SessionsDecoder parentMessage)
        {
            this.parentMessage = parentMessage;
        }

        public void wrap(final DirectBuffer buffer)
        {
            if (buffer != this.buffer)
            {
                this.buffer = buffer;
            }

            index = 0;
            final int limit = parentMessage.limit();
            parentMessage.limit(limit + HEADER_SIZE);
            blockLength = (buffer.getShort(limit + 0, BYTE_ORDER) & 0xFFFF);
            count = (buffer.getShort(limit + 2, BYTE_ORDER) & 0xFFFF);
        }

        public ChangedDecoder next()
        {
            if (index >= count)
            {
                throw new java.util.NoSuchElementException();
            }

            offset = parentMessage.limit();
            parentMessage.limit(offset + blockLength);
            ++index;

            return this;
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

        public int actingBlockLength()
        {
            return blockLength;
        }

        public int actingVersion()
        {
            return parentMessage.actingVersion;
        }

        public int count()
        {
            return count;
        }

        public java.util.Iterator<ChangedDecoder> iterator()
        {
            return this;
        }

        public void remove()
        {
            throw new UnsupportedOperationException();
        }

        public boolean hasNext()
        {
            return index < count;
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

        public int slots()
        {
            return buffer.getInt(offset + 0, BYTE_ORDER);
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

        public short drainingRaw()
        {
            return ((short)(buffer.getByte(offset + 4) & 0xFF));
        }

        public Flag draining()
        {
            return Flag.get(((short)(buffer.getByte(offset + 4) & 0xFF)));
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

        public long coldLeftMillis()
        {
            return buffer.getLong(offset + 5, BYTE_ORDER);
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

        public long sequence()
        {
            return buffer.getLong(offset + 13, BYTE_ORDER);
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

        public int weight()
        {
            if (parentMessage.actingVersion < 1)
            {
                return -2147483648;
            }

            return buffer.getInt(offset + 21, BYTE_ORDER);
        }


        public static int instanceId()
        {
            return 9;
        }

        public static int instanceSinceVersion()
        {
            return 0;
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

        public int instanceLength()
        {
            final int limit = parentMessage.limit();
            return (buffer.getShort(limit, BYTE_ORDER) & 0xFFFF);
        }

        public int skipInstance()
        {
            final int headerLength = 2;
            final int limit = parentMessage.limit();
            final int dataLength = (buffer.getShort(limit, BYTE_ORDER) & 0xFFFF);
            final int dataOffset = limit + headerLength;
            parentMessage.limit(dataOffset + dataLength);

            return dataLength;
        }

        public int getInstance(final MutableDirectBuffer dst, final int dstOffset, final int length)
        {
            final int headerLength = 2;
            final int limit = parentMessage.limit();
            final int dataLength = (buffer.getShort(limit, BYTE_ORDER) & 0xFFFF);
            final int bytesCopied = Math.min(length, dataLength);
            parentMessage.limit(limit + headerLength + dataLength);
            buffer.getBytes(limit + headerLength, dst, dstOffset, bytesCopied);

            return bytesCopied;
        }

        public int getInstance(final byte[] dst, final int dstOffset, final int length)
        {
            final int headerLength = 2;
            final int limit = parentMessage.limit();
            final int dataLength = (buffer.getShort(limit, BYTE_ORDER) & 0xFFFF);
            final int bytesCopied = Math.min(length, dataLength);
            parentMessage.limit(limit + headerLength + dataLength);
            buffer.getBytes(limit + headerLength, dst, dstOffset, bytesCopied);

            return bytesCopied;
        }

        public void wrapInstance(final DirectBuffer wrapBuffer)
        {
            final int headerLength = 2;
            final int limit = parentMessage.limit();
            final int dataLength = (buffer.getShort(limit, BYTE_ORDER) & 0xFFFF);
            parentMessage.limit(limit + headerLength + dataLength);
            wrapBuffer.wrap(buffer, limit + headerLength, dataLength);
        }

        public String instance()
        {
            final int headerLength = 2;
            final int limit = parentMessage.limit();
            final int dataLength = (buffer.getShort(limit, BYTE_ORDER) & 0xFFFF);
            parentMessage.limit(limit + headerLength + dataLength);

            if (0 == dataLength)
            {
                return "";
            }

            final byte[] tmp = new byte[dataLength];
            buffer.getBytes(limit + headerLength, tmp, 0, dataLength);

            return new String(tmp, java.nio.charset.StandardCharsets.UTF_8);
        }

        public static int serviceId()
        {
            return 10;
        }

        public static int serviceSinceVersion()
        {
            return 0;
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

        public int serviceLength()
        {
            final int limit = parentMessage.limit();
            return (buffer.getShort(limit, BYTE_ORDER) & 0xFFFF);
        }

        public int skipService()
        {
            final int headerLength = 2;
            final int limit = parentMessage.limit();
            final int dataLength = (buffer.getShort(limit, BYTE_ORDER) & 0xFFFF);
            final int dataOffset = limit + headerLength;
            parentMessage.limit(dataOffset + dataLength);

            return dataLength;
        }

        public int getService(final MutableDirectBuffer dst, final int dstOffset, final int length)
        {
            final int headerLength = 2;
            final int limit = parentMessage.limit();
            final int dataLength = (buffer.getShort(limit, BYTE_ORDER) & 0xFFFF);
            final int bytesCopied = Math.min(length, dataLength);
            parentMessage.limit(limit + headerLength + dataLength);
            buffer.getBytes(limit + headerLength, dst, dstOffset, bytesCopied);

            return bytesCopied;
        }

        public int getService(final byte[] dst, final int dstOffset, final int length)
        {
            final int headerLength = 2;
            final int limit = parentMessage.limit();
            final int dataLength = (buffer.getShort(limit, BYTE_ORDER) & 0xFFFF);
            final int bytesCopied = Math.min(length, dataLength);
            parentMessage.limit(limit + headerLength + dataLength);
            buffer.getBytes(limit + headerLength, dst, dstOffset, bytesCopied);

            return bytesCopied;
        }

        public void wrapService(final DirectBuffer wrapBuffer)
        {
            final int headerLength = 2;
            final int limit = parentMessage.limit();
            final int dataLength = (buffer.getShort(limit, BYTE_ORDER) & 0xFFFF);
            parentMessage.limit(limit + headerLength + dataLength);
            wrapBuffer.wrap(buffer, limit + headerLength, dataLength);
        }

        public String service()
        {
            final int headerLength = 2;
            final int limit = parentMessage.limit();
            final int dataLength = (buffer.getShort(limit, BYTE_ORDER) & 0xFFFF);
            parentMessage.limit(limit + headerLength + dataLength);

            if (0 == dataLength)
            {
                return "";
            }

            final byte[] tmp = new byte[dataLength];
            buffer.getBytes(limit + headerLength, tmp, 0, dataLength);

            return new String(tmp, java.nio.charset.StandardCharsets.UTF_8);
        }

        public static int addressId()
        {
            return 11;
        }

        public static int addressSinceVersion()
        {
            return 0;
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

        public int addressLength()
        {
            final int limit = parentMessage.limit();
            return (buffer.getShort(limit, BYTE_ORDER) & 0xFFFF);
        }

        public int skipAddress()
        {
            final int headerLength = 2;
            final int limit = parentMessage.limit();
            final int dataLength = (buffer.getShort(limit, BYTE_ORDER) & 0xFFFF);
            final int dataOffset = limit + headerLength;
            parentMessage.limit(dataOffset + dataLength);

            return dataLength;
        }

        public int getAddress(final MutableDirectBuffer dst, final int dstOffset, final int length)
        {
            final int headerLength = 2;
            final int limit = parentMessage.limit();
            final int dataLength = (buffer.getShort(limit, BYTE_ORDER) & 0xFFFF);
            final int bytesCopied = Math.min(length, dataLength);
            parentMessage.limit(limit + headerLength + dataLength);
            buffer.getBytes(limit + headerLength, dst, dstOffset, bytesCopied);

            return bytesCopied;
        }

        public int getAddress(final byte[] dst, final int dstOffset, final int length)
        {
            final int headerLength = 2;
            final int limit = parentMessage.limit();
            final int dataLength = (buffer.getShort(limit, BYTE_ORDER) & 0xFFFF);
            final int bytesCopied = Math.min(length, dataLength);
            parentMessage.limit(limit + headerLength + dataLength);
            buffer.getBytes(limit + headerLength, dst, dstOffset, bytesCopied);

            return bytesCopied;
        }

        public void wrapAddress(final DirectBuffer wrapBuffer)
        {
            final int headerLength = 2;
            final int limit = parentMessage.limit();
            final int dataLength = (buffer.getShort(limit, BYTE_ORDER) & 0xFFFF);
            parentMessage.limit(limit + headerLength + dataLength);
            wrapBuffer.wrap(buffer, limit + headerLength, dataLength);
        }

        public String address()
        {
            final int headerLength = 2;
            final int limit = parentMessage.limit();
            final int dataLength = (buffer.getShort(limit, BYTE_ORDER) & 0xFFFF);
            parentMessage.limit(limit + headerLength + dataLength);

            if (0 == dataLength)
            {
                return "";
            }

            final byte[] tmp = new byte[dataLength];
            buffer.getBytes(limit + headerLength, tmp, 0, dataLength);

            return new String(tmp, java.nio.charset.StandardCharsets.UTF_8);
        }

        public static int zoneId()
        {
            return 12;
        }

        public static int zoneSinceVersion()
        {
            return 0;
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

        public int zoneLength()
        {
            final int limit = parentMessage.limit();
            return (buffer.getShort(limit, BYTE_ORDER) & 0xFFFF);
        }

        public int skipZone()
        {
            final int headerLength = 2;
            final int limit = parentMessage.limit();
            final int dataLength = (buffer.getShort(limit, BYTE_ORDER) & 0xFFFF);
            final int dataOffset = limit + headerLength;
            parentMessage.limit(dataOffset + dataLength);

            return dataLength;
        }

        public int getZone(final MutableDirectBuffer dst, final int dstOffset, final int length)
        {
            final int headerLength = 2;
            final int limit = parentMessage.limit();
            final int dataLength = (buffer.getShort(limit, BYTE_ORDER) & 0xFFFF);
            final int bytesCopied = Math.min(length, dataLength);
            parentMessage.limit(limit + headerLength + dataLength);
            buffer.getBytes(limit + headerLength, dst, dstOffset, bytesCopied);

            return bytesCopied;
        }

        public int getZone(final byte[] dst, final int dstOffset, final int length)
        {
            final int headerLength = 2;
            final int limit = parentMessage.limit();
            final int dataLength = (buffer.getShort(limit, BYTE_ORDER) & 0xFFFF);
            final int bytesCopied = Math.min(length, dataLength);
            parentMessage.limit(limit + headerLength + dataLength);
            buffer.getBytes(limit + headerLength, dst, dstOffset, bytesCopied);

            return bytesCopied;
        }

        public void wrapZone(final DirectBuffer wrapBuffer)
        {
            final int headerLength = 2;
            final int limit = parentMessage.limit();
            final int dataLength = (buffer.getShort(limit, BYTE_ORDER) & 0xFFFF);
            parentMessage.limit(limit + headerLength + dataLength);
            wrapBuffer.wrap(buffer, limit + headerLength, dataLength);
        }

        public String zone()
        {
            final int headerLength = 2;
            final int limit = parentMessage.limit();
            final int dataLength = (buffer.getShort(limit, BYTE_ORDER) & 0xFFFF);
            parentMessage.limit(limit + headerLength + dataLength);

            if (0 == dataLength)
            {
                return "";
            }

            final byte[] tmp = new byte[dataLength];
            buffer.getBytes(limit + headerLength, tmp, 0, dataLength);

            return new String(tmp, java.nio.charset.StandardCharsets.UTF_8);
        }

        public static int softwareId()
        {
            return 13;
        }

        public static int softwareSinceVersion()
        {
            return 0;
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

        public int softwareLength()
        {
            final int limit = parentMessage.limit();
            return (buffer.getShort(limit, BYTE_ORDER) & 0xFFFF);
        }

        public int skipSoftware()
        {
            final int headerLength = 2;
            final int limit = parentMessage.limit();
            final int dataLength = (buffer.getShort(limit, BYTE_ORDER) & 0xFFFF);
            final int dataOffset = limit + headerLength;
            parentMessage.limit(dataOffset + dataLength);

            return dataLength;
        }

        public int getSoftware(final MutableDirectBuffer dst, final int dstOffset, final int length)
        {
            final int headerLength = 2;
            final int limit = parentMessage.limit();
            final int dataLength = (buffer.getShort(limit, BYTE_ORDER) & 0xFFFF);
            final int bytesCopied = Math.min(length, dataLength);
            parentMessage.limit(limit + headerLength + dataLength);
            buffer.getBytes(limit + headerLength, dst, dstOffset, bytesCopied);

            return bytesCopied;
        }

        public int getSoftware(final byte[] dst, final int dstOffset, final int length)
        {
            final int headerLength = 2;
            final int limit = parentMessage.limit();
            final int dataLength = (buffer.getShort(limit, BYTE_ORDER) & 0xFFFF);
            final int bytesCopied = Math.min(length, dataLength);
            parentMessage.limit(limit + headerLength + dataLength);
            buffer.getBytes(limit + headerLength, dst, dstOffset, bytesCopied);

            return bytesCopied;
        }

        public void wrapSoftware(final DirectBuffer wrapBuffer)
        {
            final int headerLength = 2;
            final int limit = parentMessage.limit();
            final int dataLength = (buffer.getShort(limit, BYTE_ORDER) & 0xFFFF);
            parentMessage.limit(limit + headerLength + dataLength);
            wrapBuffer.wrap(buffer, limit + headerLength, dataLength);
        }

        public String software()
        {
            final int headerLength = 2;
            final int limit = parentMessage.limit();
            final int dataLength = (buffer.getShort(limit, BYTE_ORDER) & 0xFFFF);
            parentMessage.limit(limit + headerLength + dataLength);

            if (0 == dataLength)
            {
                return "";
            }

            final byte[] tmp = new byte[dataLength];
            buffer.getBytes(limit + headerLength, tmp, 0, dataLength);

            return new String(tmp, java.nio.charset.StandardCharsets.UTF_8);
        }

        public StringBuilder appendTo(final StringBuilder builder)
        {
            if (null == buffer)
            {
                return builder;
            }

            builder.append('(');
            builder.append("slots=");
            builder.append(this.slots());
            builder.append('|');
            builder.append("draining=");
            builder.append(this.draining());
            builder.append('|');
            builder.append("coldLeftMillis=");
            builder.append(this.coldLeftMillis());
            builder.append('|');
            builder.append("sequence=");
            builder.append(this.sequence());
            builder.append('|');
            builder.append("weight=");
            builder.append(this.weight());
            builder.append('|');
            builder.append("instance=");
            builder.append('\'').append(instance()).append('\'');
            builder.append('|');
            builder.append("service=");
            builder.append('\'').append(service()).append('\'');
            builder.append('|');
            builder.append("address=");
            builder.append('\'').append(address()).append('\'');
            builder.append('|');
            builder.append("zone=");
            builder.append('\'').append(zone()).append('\'');
            builder.append('|');
            builder.append("software=");
            builder.append('\'').append(software()).append('\'');
            builder.append(')');

            return builder;
        }
        
        public ChangedDecoder sbeSkip()
        {
            skipInstance();
            skipService();
            skipAddress();
            skipZone();
            skipSoftware();

            return this;
        }
    }

    private final GoneDecoder gone = new GoneDecoder(this);

    public static long goneDecoderId()
    {
        return 14;
    }

    public static int goneDecoderSinceVersion()
    {
        return 0;
    }

    public GoneDecoder gone()
    {
        gone.wrap(buffer);
        return gone;
    }

    public static final class GoneDecoder
        implements Iterable<GoneDecoder>, java.util.Iterator<GoneDecoder>
    {
        public static final int HEADER_SIZE = 4;
        private final SessionsDecoder parentMessage;
        private DirectBuffer buffer;
        private int count;
        private int index;
        private int offset;
        private int blockLength;

        GoneDecoder(final SessionsDecoder parentMessage)
        {
            this.parentMessage = parentMessage;
        }

        public void wrap(final DirectBuffer buffer)
        {
            if (buffer != this.buffer)
            {
                this.buffer = buffer;
            }

            index = 0;
            final int limit = parentMessage.limit();
            parentMessage.limit(limit + HEADER_SIZE);
            blockLength = (buffer.getShort(limit + 0, BYTE_ORDER) & 0xFFFF);
            count = (buffer.getShort(limit + 2, BYTE_ORDER) & 0xFFFF);
        }

        public GoneDecoder next()
        {
            if (index >= count)
            {
                throw new java.util.NoSuchElementException();
            }

            offset = parentMessage.limit();
            parentMessage.limit(offset + blockLength);
            ++index;

            return this;
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

        public int actingBlockLength()
        {
            return blockLength;
        }

        public int actingVersion()
        {
            return parentMessage.actingVersion;
        }

        public int count()
        {
            return count;
        }

        public java.util.Iterator<GoneDecoder> iterator()
        {
            return this;
        }

        public void remove()
        {
            throw new UnsupportedOperationException();
        }

        public boolean hasNext()
        {
            return index < count;
        }

        public static int instanceId()
        {
            return 15;
        }

        public static int instanceSinceVersion()
        {
            return 0;
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

        public int instanceLength()
        {
            final int limit = parentMessage.limit();
            return (buffer.getShort(limit, BYTE_ORDER) & 0xFFFF);
        }

        public int skipInstance()
        {
            final int headerLength = 2;
            final int limit = parentMessage.limit();
            final int dataLength = (buffer.getShort(limit, BYTE_ORDER) & 0xFFFF);
            final int dataOffset = limit + headerLength;
            parentMessage.limit(dataOffset + dataLength);

            return dataLength;
        }

        public int getInstance(final MutableDirectBuffer dst, final int dstOffset, final int length)
        {
            final int headerLength = 2;
            final int limit = parentMessage.limit();
            final int dataLength = (buffer.getShort(limit, BYTE_ORDER) & 0xFFFF);
            final int bytesCopied = Math.min(length, dataLength);
            parentMessage.limit(limit + headerLength + dataLength);
            buffer.getBytes(limit + headerLength, dst, dstOffset, bytesCopied);

            return bytesCopied;
        }

        public int getInstance(final byte[] dst, final int dstOffset, final int length)
        {
            final int headerLength = 2;
            final int limit = parentMessage.limit();
            final int dataLength = (buffer.getShort(limit, BYTE_ORDER) & 0xFFFF);
            final int bytesCopied = Math.min(length, dataLength);
            parentMessage.limit(limit + headerLength + dataLength);
            buffer.getBytes(limit + headerLength, dst, dstOffset, bytesCopied);

            return bytesCopied;
        }

        public void wrapInstance(final DirectBuffer wrapBuffer)
        {
            final int headerLength = 2;
            final int limit = parentMessage.limit();
            final int dataLength = (buffer.getShort(limit, BYTE_ORDER) & 0xFFFF);
            parentMessage.limit(limit + headerLength + dataLength);
            wrapBuffer.wrap(buffer, limit + headerLength, dataLength);
        }

        public String instance()
        {
            final int headerLength = 2;
            final int limit = parentMessage.limit();
            final int dataLength = (buffer.getShort(limit, BYTE_ORDER) & 0xFFFF);
            parentMessage.limit(limit + headerLength + dataLength);

            if (0 == dataLength)
            {
                return "";
            }

            final byte[] tmp = new byte[dataLength];
            buffer.getBytes(limit + headerLength, tmp, 0, dataLength);

            return new String(tmp, java.nio.charset.StandardCharsets.UTF_8);
        }

        public StringBuilder appendTo(final StringBuilder builder)
        {
            if (null == buffer)
            {
                return builder;
            }

            builder.append('(');
            builder.append("instance=");
            builder.append('\'').append(instance()).append('\'');
            builder.append(')');

            return builder;
        }
        
        public GoneDecoder sbeSkip()
        {
            skipInstance();

            return this;
        }
    }

    public String toString()
    {
        if (null == buffer)
        {
            return "";
        }

        final SessionsDecoder decoder = new SessionsDecoder();
        decoder.wrap(buffer, offset, actingBlockLength, actingVersion);

        return decoder.appendTo(new StringBuilder()).toString();
    }

    public StringBuilder appendTo(final StringBuilder builder)
    {
        if (null == buffer)
        {
            return builder;
        }

        final int originalLimit = limit();
        limit(offset + actingBlockLength);
        builder.append("[Sessions](sbeTemplateId=");
        builder.append(TEMPLATE_ID);
        builder.append("|sbeSchemaId=");
        builder.append(SCHEMA_ID);
        builder.append("|sbeSchemaVersion=");
        if (parentMessage.actingVersion != SCHEMA_VERSION)
        {
            builder.append(parentMessage.actingVersion);
            builder.append('/');
        }
        builder.append(SCHEMA_VERSION);
        builder.append("|sbeBlockLength=");
        if (actingBlockLength != BLOCK_LENGTH)
        {
            builder.append(actingBlockLength);
            builder.append('/');
        }
        builder.append(BLOCK_LENGTH);
        builder.append("):");
        builder.append("revision=");
        builder.append(this.revision());
        builder.append('|');
        builder.append("whole=");
        builder.append(this.whole());
        builder.append('|');
        builder.append("complete=");
        builder.append(this.complete());
        builder.append('|');
        builder.append("changed=[");
        final int changedOriginalOffset = changed.offset;
        final int changedOriginalIndex = changed.index;
        final ChangedDecoder changed = this.changed();
        if (changed.count() > 0)
        {
            while (changed.hasNext())
            {
                changed.next().appendTo(builder);
                builder.append(',');
            }
            builder.setLength(builder.length() - 1);
        }
        changed.offset = changedOriginalOffset;
        changed.index = changedOriginalIndex;
        builder.append(']');
        builder.append('|');
        builder.append("gone=[");
        final int goneOriginalOffset = gone.offset;
        final int goneOriginalIndex = gone.index;
        final GoneDecoder gone = this.gone();
        if (gone.count() > 0)
        {
            while (gone.hasNext())
            {
                gone.next().appendTo(builder);
                builder.append(',');
            }
            builder.setLength(builder.length() - 1);
        }
        gone.offset = goneOriginalOffset;
        gone.index = goneOriginalIndex;
        builder.append(']');

        limit(originalLimit);

        return builder;
    }
    
    public SessionsDecoder sbeSkip()
    {
        sbeRewind();
        ChangedDecoder changed = this.changed();
        if (changed.count() > 0)
        {
            while (changed.hasNext())
            {
                changed.next();
                changed.sbeSkip();
            }
        }
        GoneDecoder gone = this.gone();
        if (gone.count() > 0)
        {
            while (gone.hasNext())
            {
                gone.next();
                gone.sbeSkip();
            }
        }

        return this;
    }
}
