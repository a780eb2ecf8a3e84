/* Generated SBE (Simple Binary Encoding) message codec. */
package slateslip.protocol.coordination.next;

import org.agrona.MutableDirectBuffer;

@SuppressWarnings("all")
public final class TenureNumberEncoder
{
    public static final int SCHEMA_ID = 103;
    public static final int SCHEMA_VERSION = 1;
    public static final String SEMANTIC_VERSION = "1.0";
    public static final int ENCODED_LENGTH = 16;
    public static final java.nio.ByteOrder BYTE_ORDER = java.nio.ByteOrder.LITTLE_ENDIAN;

    private int offset;
    private MutableDirectBuffer buffer;

    public TenureNumberEncoder wrap(final MutableDirectBuffer buffer, final int offset)
    {
        if (buffer != this.buffer)
        {
            this.buffer = buffer;
        }
        this.offset = offset;

        return this;
    }

    public MutableDirectBuffer buffer()
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

    public TenureNumberEncoder epoch(final long value)
    {
        buffer.putLong(offset + 0, value, BYTE_ORDER);
        return this;
    }


    public static int incarnationEncodingOffset()
    {
        return 8;
    }

    public static int incarnationEncodingLength()
    {
        return 8;
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

    public TenureNumberEncoder incarnation(final long value)
    {
        buffer.putLong(offset + 8, value, BYTE_ORDER);
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

        final TenureNumberDecoder decoder = new TenureNumberDecoder();
        decoder.wrap(buffer, offset);

        return decoder.appendTo(builder);
    }
}
