/* Generated SBE (Simple Binary Encoding) message codec. */
package slateslip.protocol.coordination.next;

import org.agrona.DirectBuffer;

@SuppressWarnings("all")
public final class HeartbeatReplyDecoder
{
    public static final int BLOCK_LENGTH = 110;
    public static final int TEMPLATE_ID = 3;
    public static final int SCHEMA_ID = 103;
    public static final int SCHEMA_VERSION = 1;
    public static final String SEMANTIC_VERSION = "1.0";
    public static final java.nio.ByteOrder BYTE_ORDER = java.nio.ByteOrder.LITTLE_ENDIAN;

    private final HeartbeatReplyDecoder parentMessage = this;
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

    public HeartbeatReplyDecoder wrap(
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

    public HeartbeatReplyDecoder wrapAndApplyHeader(
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

    public HeartbeatReplyDecoder sbeRewind()
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

    private final NodeIdentityDecoder sender = new NodeIdentityDecoder();

    public NodeIdentityDecoder sender()
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

    private final TenureNumberDecoder tenure = new TenureNumberDecoder();

    public TenureNumberDecoder tenure()
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

    public long round()
    {
        return buffer.getLong(offset + 28, BYTE_ORDER);
    }


    public static int statusId()
    {
        return 4;
    }

    public static int statusSinceVersion()
    {
        return 0;
    }

    public static int statusEncodingOffset()
    {
        return 36;
    }

    public static int statusEncodingLength()
    {
        return 66;
    }

    public static String statusMetaAttribute(final MetaAttribute metaAttribute)
    {
        if (MetaAttribute.PRESENCE == metaAttribute)
        {
            return "required";
        }

        return "";
    }

    private final StatusReportDecoder status = new StatusReportDecoder();

    public StatusReportDecoder status()
    {
        status.wrap(buffer, offset + 36);
        return status;
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
        return 102;
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

    public long addedNote()
    {
        if (parentMessage.actingVersion < 1)
        {
            return -9223372036854775808L;
        }

        return buffer.getLong(offset + 102, BYTE_ORDER);
    }


    public String toString()
    {
        if (null == buffer)
        {
            return "";
        }

        final HeartbeatReplyDecoder decoder = new HeartbeatReplyDecoder();
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
        builder.append("[HeartbeatReply](sbeTemplateId=");
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
        builder.append("sender=");
        final NodeIdentityDecoder sender = this.sender();
        if (null != sender)
        {
            sender.appendTo(builder);
        }
        else
        {
            builder.append("null");
        }
        builder.append('|');
        builder.append("tenure=");
        final TenureNumberDecoder tenure = this.tenure();
        if (null != tenure)
        {
            tenure.appendTo(builder);
        }
        else
        {
            builder.append("null");
        }
        builder.append('|');
        builder.append("round=");
        builder.append(this.round());
        builder.append('|');
        builder.append("status=");
        final StatusReportDecoder status = this.status();
        if (null != status)
        {
            status.appendTo(builder);
        }
        else
        {
            builder.append("null");
        }
        builder.append('|');
        builder.append("addedNote=");
        builder.append(this.addedNote());

        limit(originalLimit);

        return builder;
    }
    
    public HeartbeatReplyDecoder sbeSkip()
    {
        sbeRewind();

        return this;
    }
}
