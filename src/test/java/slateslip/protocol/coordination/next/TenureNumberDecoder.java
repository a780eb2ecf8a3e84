/* Generated SBE (Simple Binary Encoding) message codec. */
package slateslip.protocol.coordination.next;

import org.agrona.DirectBuffer;

@SuppressWarnings("all")
public final class TenureNumberDecoder
{
    public static final int SCHEMA_ID = 103;
    public static final int SCHEMA_VERSION = 1;
    public static final String SEMANTIC_VERSION = "1.0";
    public static final int ENCODED_LENGTH = 16;
    public static final java.nio.ByteOrder BYTE_ORDER = java.nio.ByteOrder.LITTLE_ENDIAN;

    private int offset;
    private DirectBuffer buffer;

    public TenureNumberDecoder wrap(final DirectBuffer buffer, final int offset)
    {
        if (buffer != this.buffer)
        {
            this.buffer = buffer;
        }
        this.offset = offset;

        return this;
    }

    public DirectBuffer buffer()
    {
        return buffer;
    }

    public int offset()
    {
        return offset;
    }

    public int encodedLength()
    {
        return ENCODED_LENGTH;
    }

    public int sbeSchemaId()
    {
        return SCHEMA_ID;
    }

    public int sbeSchemaVersion()
    {
        return SCHEMA_VERSION;
    }

    public static int epochEncodingOffset()
    {
        return 0;
    }

    public static int epochEncodingLength()
    {
        return 8;
    }

    public static int epochSinceVersion()
    {
        return 0;
    }

    public static long epochNullValue()
    {
        return -9223372036854775808L;
    }

    public static long epochMinValue()
    {
        return -9223372036854775807L;
    }

    public static long epochMaxValue()
    {
        return 9223372036854775807L;
    }

    public long epoch()
    {
        return buffer.getLong(offset + 0, BYTE_ORDER);
    }


    public static int incarnationEncodingOffset()
    {
        return 8;
    }

    public static int incarnationEncodingLength()
    {
        return 8;
    }

    public static int incarnationSinceVersion()
    {
        return 0;
    }

    public static long incarnationNullValue()
    {
        return -9223372036854775808L;
    }

    public static long incarnationMinValue()
    {
        return -9223372036854775807L;
    }

    public static long incarnationMaxValue()
    {
        return 9223372036854775807L;
    }

    public long incarnation()
    {
        return buffer.getLong(offset + 8, BYTE_ORDER);
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

        builder.append('(');
        builder.append("epoch=");
        builder.append(this.epoch());
        builder.append('|');
        builder.append("incarnation=");
        builder.append(this.incarnation());
        builder.append(')');

        return builder;
    }
}
