/* Generated SBE (Simple Binary Encoding) message codec. */
package slateslip.protocol.distribution.newer;

import org.agrona.DirectBuffer;

@SuppressWarnings("all")
public final class AcknowledgeDecoder
{
    public static final int BLOCK_LENGTH = 24;
    public static final int TEMPLATE_ID = 2;
    public static final int SCHEMA_ID = 101;
    public static final int SCHEMA_VERSION = 1;
    public static final String SEMANTIC_VERSION = "1.0";
    public static final java.nio.ByteOrder BYTE_ORDER = java.nio.ByteOrder.LITTLE_ENDIAN;

    private final AcknowledgeDecoder parentMessage = this;
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

    public AcknowledgeDecoder wrap(
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

    public AcknowledgeDecoder wrapAndApplyHeader(
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

    public AcknowledgeDecoder sbeRewind()
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

    public static int configurationVersionId()
    {
        return 1;
    }

    public static int configurationVersionSinceVersion()
    {
        return 0;
    }

    public static int configurationVersionEncodingOffset()
    {
        return 0;
    }

    public static int configurationVersionEncodingLength()
    {
        return 8;
    }

    public static String configurationVersionMetaAttribute(final MetaAttribute metaAttribute)
    {
        if (MetaAttribute.PRESENCE == metaAttribute)
        {
            return "required";
        }

        return "";
    }

    public static long configurationVersionNullValue()
    {
        return -9223372036854775808L;
    }

    public static long configurationVersionMinValue()
    {
        return -9223372036854775807L;
    }

    public static long configurationVersionMaxValue()
    {
        return 9223372036854775807L;
    }

    public long configurationVersion()
    {
        return buffer.getLong(offset + 0, BYTE_ORDER);
    }


    public static int sessionRevisionId()
    {
        return 2;
    }

    public static int sessionRevisionSinceVersion()
    {
        return 0;
    }

    public static int sessionRevisionEncodingOffset()
    {
        return 8;
    }

    public static int sessionRevisionEncodingLength()
    {
        return 8;
    }

    public static String sessionRevisionMetaAttribute(final MetaAttribute metaAttribute)
    {
        if (MetaAttribute.PRESENCE == metaAttribute)
        {
            return "required";
        }

        return "";
    }

    public static long sessionRevisionNullValue()
    {
        return -9223372036854775808L;
    }

    public static long sessionRevisionMinValue()
    {
        return -9223372036854775807L;
    }

    public static long sessionRevisionMaxValue()
    {
        return 9223372036854775807L;
    }

    public long sessionRevision()
    {
        return buffer.getLong(offset + 8, BYTE_ORDER);
    }


    public static int applyMicrosId()
    {
        return 100;
    }

    public static int applyMicrosSinceVersion()
    {
        return 1;
    }

    public static int applyMicrosEncodingOffset()
    {
        return 16;
    }

    public static int applyMicrosEncodingLength()
    {
        return 8;
    }

    public static String applyMicrosMetaAttribute(final MetaAttribute metaAttribute)
    {
        if (MetaAttribute.PRESENCE == metaAttribute)
        {
            return "required";
        }

        return "";
    }

    public static long applyMicrosNullValue()
    {
        return -9223372036854775808L;
    }

    public static long applyMicrosMinValue()
    {
        return -9223372036854775807L;
    }

    public static long applyMicrosMaxValue()
    {
        return 9223372036854775807L;
    }

    public long applyMicros()
    {
        if (parentMessage.actingVersion < 1)
        {
            return -9223372036854775808L;
        }

        return buffer.getLong(offset + 16, BYTE_ORDER);
    }


    public String toString()
    {
        if (null == buffer)
        {
            return "";
        }

        final AcknowledgeDecoder decoder = new AcknowledgeDecoder();
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
        builder.append("[Acknowledge](sbeTemplateId=");
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
        builder.append("configurationVersion=");
        builder.append(this.configurationVersion());
        builder.append('|');
        builder.append("sessionRevision=");
        builder.append(this.sessionRevision());
        builder.append('|');
        builder.append("applyMicros=");
        builder.append(this.applyMicros());

        limit(originalLimit);

        return builder;
    }
    
    public AcknowledgeDecoder sbeSkip()
    {
        sbeRewind();

        return this;
    }
}
