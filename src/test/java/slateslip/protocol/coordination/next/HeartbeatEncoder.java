/* Generated SBE (Simple Binary Encoding) message codec. */
package slateslip.protocol.coordination.next;

import org.agrona.MutableDirectBuffer;
import org.agrona.DirectBuffer;

@SuppressWarnings("all")
public final class HeartbeatEncoder
{
    public static final int BLOCK_LENGTH = 53;
    public static final int TEMPLATE_ID = 2;
    public static final int SCHEMA_ID = 103;
    public static final int SCHEMA_VERSION = 1;
    public static final String SEMANTIC_VERSION = "1.0";
    public static final java.nio.ByteOrder BYTE_ORDER = java.nio.ByteOrder.LITTLE_ENDIAN;

    private final HeartbeatEncoder parentMessage = this;
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

    public HeartbeatEncoder wrap(final MutableDirectBuffer buffer, final int offset)
    {
        if (buffer != this.buffer)
        {
            this.buffer = buffer;
        }
        this.offset = offset;
        limit(offset + BLOCK_LENGTH);

        return this;
    }

    public HeartbeatEncoder wrapAndApplyHeader(
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

    public static int senderId()
    {
        return 1;
    }

    public static int senderSinceVersion()
    {
        return 0;
    }

    public static int senderEncodingOffset()
    {
        return 0;
    }

    public static int senderEncodingLength()
    {
        return 12;
    }

    public static String senderMetaAttribute(final MetaAttribute metaAttribute)
    {
        if (MetaAttribute.PRESENCE == metaAttribute)
        {
            return "required";
        }

        return "";
    }

    private final NodeIdentityEncoder sender = new NodeIdentityEncoder();

    public NodeIdentityEncoder sender()
    {
        sender.wrap(buffer, offset + 0);
        return sender;
    }

    public static int tenureId()
    {
        return 2;
    }

    public static int tenureSinceVersion()
    {
        return 0;
    }

    public static int tenureEncodingOffset()
    {
        return 12;
    }

    public static int tenureEncodingLength()
    {
        return 16;
    }

    public static String tenureMetaAttribute(final MetaAttribute metaAttribute)
    {
        if (MetaAttribute.PRESENCE == metaAttribute)
        {
            return "required";
        }

        return "";
    }

    private final TenureNumberEncoder tenure = new TenureNumberEncoder();

    public TenureNumberEncoder tenure()
    {
        tenure.wrap(buffer, offset + 12);
        return tenure;
    }

    public static int roundId()
    {
        return 3;
    }

    public static int roundSinceVersion()
    {
        return 0;
    }

    public static int roundEncodingOffset()
    {
        return 28;
    }

    public static int roundEncodingLength()
    {
        return 8;
    }

    public static String roundMetaAttribute(final MetaAttribute metaAttribute)
    {
        if (MetaAttribute.PRESENCE == metaAttribute)
        {
            return "required";
        }

        return "";
    }

    public static long roundNullValue()
    {
        return -9223372036854775808L;
    }

    public static long roundMinValue()
    {
        return -9223372036854775807L;
    }

    public static long roundMaxValue()
    {
        return 9223372036854775807L;
    }

    public HeartbeatEncoder round(final long value)
    {
        buffer.putLong(offset + 28, value, BYTE_ORDER);
        return this;
    }


    public static int committedSequenceId()
    {
        return 4;
    }

    public static int committedSequenceSinceVersion()
    {
        return 0;
    }

    public static int committedSequenceEncodingOffset()
    {
        return 36;
    }

    public static int committedSequenceEncodingLength()
    {
        return 8;
    }

    public static String committedSequenceMetaAttribute(final MetaAttribute metaAttribute)
    {
        if (MetaAttribute.PRESENCE == metaAttribute)
        {
            return "required";
        }

        return "";
    }

    public static long committedSequenceNullValue()
    {
        return -9223372036854775808L;
    }

    public static long committedSequenceMinValue()
    {
        return -9223372036854775807L;
    }

    public static long committedSequenceMaxValue()
    {
        return 9223372036854775807L;
    }

    public HeartbeatEncoder committedSequence(final long value)
    {
        buffer.putLong(offset + 36, value, BYTE_ORDER);
        return this;
    }


    public static int activeId()
    {
        return 5;
    }

    public static int activeSinceVersion()
    {
        return 0;
    }

    public static int activeEncodingOffset()
    {
        return 44;
    }

    public static int activeEncodingLength()
    {
        return 1;
    }

    public static String activeMetaAttribute(final MetaAttribute metaAttribute)
    {
        if (MetaAttribute.PRESENCE == metaAttribute)
        {
            return "required";
        }

        return "";
    }

    public HeartbeatEncoder active(final Flag value)
    {
        buffer.putByte(offset + 44, (byte)value.value());
        return this;
    }

    public static int addedNoteId()
    {
        return 90;
    }

    public static int addedNoteSinceVersion()
    {
        return 1;
    }

    public static int addedNoteEncodingOffset()
    {
        return 45;
    }

    public static int addedNoteEncodingLength()
    {
        return 8;
    }

    public static String addedNoteMetaAttribute(final MetaAttribute metaAttribute)
    {
        if (MetaAttribute.PRESENCE == metaAttribute)
        {
            return "required";
        }

        return "";
    }

    public static long addedNoteNullValue()
    {
        return -9223372036854775808L;
    }

    public static long addedNoteMinValue()
    {
        return -9223372036854775807L;
    }

    public static long addedNoteMaxValue()
    {
        return 9223372036854775807L;
    }

    public HeartbeatEncoder addedNote(final long value)
    {
        buffer.putLong(offset + 45, value, BYTE_ORDER);
        return this;
    }


    public static int viewId()
    {
        return 6;
    }

    public static String viewMetaAttribute(final MetaAttribute metaAttribute)
    {
        if (MetaAttribute.PRESENCE == metaAttribute)
        {
            return "required";
        }

        return "";
    }

    public static int viewHeaderLength()
    {
        return 4;
    }

    public HeartbeatEncoder putView(final DirectBuffer src, final int srcOffset, final int length)
    {
        if (length > 1073741824)
        {
            throw new IllegalStateException("length > maxValue for type: " + length);
        }

        final int headerLength = 4;
        final int limit = parentMessage.limit();
        parentMessage.limit(limit + headerLength + length);
        buffer.putInt(limit, length, BYTE_ORDER);
        buffer.putBytes(limit + headerLength, src, srcOffset, length);

        return this;
    }

    public HeartbeatEncoder putView(final byte[] src, final int srcOffset, final int length)
    {
        if (length > 1073741824)
        {
            throw new IllegalStateException("length > maxValue for type: " + length);
        }

        final int headerLength = 4;
        final int limit = parentMessage.limit();
        parentMessage.limit(limit + headerLength + length);
        buffer.putInt(limit, length, BYTE_ORDER);
        buffer.putBytes(limit + headerLength, src, srcOffset, length);

        return this;
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

        final HeartbeatDecoder decoder = new HeartbeatDecoder();
        decoder.wrap(buffer, offset, BLOCK_LENGTH, SCHEMA_VERSION);

        return decoder.appendTo(builder);
    }
}
