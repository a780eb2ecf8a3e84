/* Generated SBE (Simple Binary Encoding) message codec. */
package slateslip.protocol.distribution.newer;

import org.agrona.MutableDirectBuffer;

@SuppressWarnings("all")
public final class AcknowledgeEncoder
{
    public static final int BLOCK_LENGTH = 24;
    public static final int TEMPLATE_ID = 2;
    public static final int SCHEMA_ID = 101;
    public static final int SCHEMA_VERSION = 1;
    public static final String SEMANTIC_VERSION = "1.0";
    public static final java.nio.ByteOrder BYTE_ORDER = java.nio.ByteOrder.LITTLE_ENDIAN;

    private final AcknowledgeEncoder parentMessage = this;
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

    public AcknowledgeEncoder wrap(final MutableDirectBuffer buffer, final int offset)
    {
        if (buffer != this.buffer)
        {
            this.buffer = buffer;
        }
        this.offset = offset;
        limit(offset + BLOCK_LENGTH);

        return this;
    }

    public AcknowledgeEncoder wrapAndApplyHeader(
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

    public AcknowledgeEncoder configurationVersion(final long value)
    {
        buffer.putLong(offset + 0, value, BYTE_ORDER);
        return this;
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

    public AcknowledgeEncoder sessionRevision(final long value)
    {
        buffer.putLong(offset + 8, value, BYTE_ORDER);
        return this;
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

    public AcknowledgeEncoder applyMicros(final long value)
    {
        buffer.putLong(offset + 16, value, BYTE_ORDER);
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

        final AcknowledgeDecoder decoder = new AcknowledgeDecoder();
        decoder.wrap(buffer, offset, BLOCK_LENGTH, SCHEMA_VERSION);

        return decoder.appendTo(builder);
    }
}
