/* Generated SBE (Simple Binary Encoding) message codec. */
package slateslip.protocol.coordination.next;

import org.agrona.DirectBuffer;

@SuppressWarnings("all")
public final class NodeIdentityDecoder
{
    public static final int SCHEMA_ID = 103;
    public static final int SCHEMA_VERSION = 1;
    public static final String SEMANTIC_VERSION = "1.0";
    public static final int ENCODED_LENGTH = 12;
    public static final java.nio.ByteOrder BYTE_ORDER = java.nio.ByteOrder.LITTLE_ENDIAN;

    private int offset;
    private DirectBuffer buffer;

    public NodeIdentityDecoder wrap(final DirectBuffer buffer, final int offset)
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

    public static int ipv4EncodingOffset()
    {
        return 0;
    }

    public static int ipv4EncodingLength()
    {
        return 4;
    }

    public static int ipv4SinceVersion()
    {
        return 0;
    }

    public static int ipv4NullValue()
    {
        return -2147483648;
    }

    public static int ipv4MinValue()
    {
        return -2147483647;
    }

    public static int ipv4MaxValue()
    {
        return 2147483647;
    }

    public int ipv4()
    {
        return buffer.getInt(offset + 0, BYTE_ORDER);
    }


    public static int diskIdEncodingOffset()
    {
        return 4;
    }

    public static int diskIdEncodingLength()
    {
        return 8;
    }

    public static int diskIdSinceVersion()
    {
        return 0;
    }

    public static long diskIdNullValue()
    {
        return -9223372036854775808L;
    }

    public static long diskIdMinValue()
    {
        return -9223372036854775807L;
    }

    public static long diskIdMaxValue()
    {
        return 9223372036854775807L;
    }

    public long diskId()
    {
        return buffer.getLong(offset + 4, BYTE_ORDER);
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
        builder.append("ipv4=");
        builder.append(this.ipv4());
        builder.append('|');
        builder.append("diskId=");
        builder.append(this.diskId());
        builder.append(')');

        return builder;
    }
}
