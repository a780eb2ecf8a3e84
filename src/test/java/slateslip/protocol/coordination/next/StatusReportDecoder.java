/* Generated SBE (Simple Binary Encoding) message codec. */
package slateslip.protocol.coordination.next;

import org.agrona.DirectBuffer;

@SuppressWarnings("all")
public final class StatusReportDecoder
{
    public static final int SCHEMA_ID = 103;
    public static final int SCHEMA_VERSION = 1;
    public static final String SEMANTIC_VERSION = "1.0";
    public static final int ENCODED_LENGTH = 66;
    public static final java.nio.ByteOrder BYTE_ORDER = java.nio.ByteOrder.LITTLE_ENDIAN;

    private int offset;
    private DirectBuffer buffer;

    public StatusReportDecoder wrap(final DirectBuffer buffer, final int offset)
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

    public static int decidedEpochEncodingOffset()
    {
        return 0;
    }

    public static int decidedEpochEncodingLength()
    {
        return 8;
    }

    public static int decidedEpochSinceVersion()
    {
        return 0;
    }

    public static long decidedEpochNullValue()
    {
        return -9223372036854775808L;
    }

    public static long decidedEpochMinValue()
    {
        return -9223372036854775807L;
    }

    public static long decidedEpochMaxValue()
    {
        return 9223372036854775807L;
    }

    public long decidedEpoch()
    {
        return buffer.getLong(offset + 0, BYTE_ORDER);
    }


    public static int receivedEpochEncodingOffset()
    {
        return 8;
    }

    public static int receivedEpochEncodingLength()
    {
        return 8;
    }

    public static int receivedEpochSinceVersion()
    {
        return 0;
    }

    public static long receivedEpochNullValue()
    {
        return -9223372036854775808L;
    }

    public static long receivedEpochMinValue()
    {
        return -9223372036854775807L;
    }

    public static long receivedEpochMaxValue()
    {
        return 9223372036854775807L;
    }

    public long receivedEpoch()
    {
        return buffer.getLong(offset + 8, BYTE_ORDER);
    }


    public static int receivedIncarnationEncodingOffset()
    {
        return 16;
    }

    public static int receivedIncarnationEncodingLength()
    {
        return 8;
    }

    public static int receivedIncarnationSinceVersion()
    {
        return 0;
    }

    public static long receivedIncarnationNullValue()
    {
        return -9223372036854775808L;
    }

    public static long receivedIncarnationMinValue()
    {
        return -9223372036854775807L;
    }

    public static long receivedIncarnationMaxValue()
    {
        return 9223372036854775807L;
    }

    public long receivedIncarnation()
    {
        return buffer.getLong(offset + 16, BYTE_ORDER);
    }


    public static int receivedSequenceEncodingOffset()
    {
        return 24;
    }

    public static int receivedSequenceEncodingLength()
    {
        return 8;
    }

    public static int receivedSequenceSinceVersion()
    {
        return 0;
    }

    public static long receivedSequenceNullValue()
    {
        return -9223372036854775808L;
    }

    public static long receivedSequenceMinValue()
    {
        return -9223372036854775807L;
    }

    public static long receivedSequenceMaxValue()
    {
        return 9223372036854775807L;
    }

    public long receivedSequence()
    {
        return buffer.getLong(offset + 24, BYTE_ORDER);
    }


    public static int durableEpochEncodingOffset()
    {
        return 32;
    }

    public static int durableEpochEncodingLength()
    {
        return 8;
    }

    public static int durableEpochSinceVersion()
    {
        return 0;
    }

    public static long durableEpochNullValue()
    {
        return -9223372036854775808L;
    }

    public static long durableEpochMinValue()
    {
        return -9223372036854775807L;
    }

    public static long durableEpochMaxValue()
    {
        return 9223372036854775807L;
    }

    public long durableEpoch()
    {
        return buffer.getLong(offset + 32, BYTE_ORDER);
    }


    public static int durableIncarnationEncodingOffset()
    {
        return 40;
    }

    public static int durableIncarnationEncodingLength()
    {
        return 8;
    }

    public static int durableIncarnationSinceVersion()
    {
        return 0;
    }

    public static long durableIncarnationNullValue()
    {
        return -9223372036854775808L;
    }

    public static long durableIncarnationMinValue()
    {
        return -9223372036854775807L;
    }

    public static long durableIncarnationMaxValue()
    {
        return 9223372036854775807L;
    }

    public long durableIncarnation()
    {
        return buffer.getLong(offset + 40, BYTE_ORDER);
    }


    public static int durableSequenceEncodingOffset()
    {
        return 48;
    }

    public static int durableSequenceEncodingLength()
    {
        return 8;
    }

    public static int durableSequenceSinceVersion()
    {
        return 0;
    }

    public static long durableSequenceNullValue()
    {
        return -9223372036854775808L;
    }

    public static long durableSequenceMinValue()
    {
        return -9223372036854775807L;
    }

    public static long durableSequenceMaxValue()
    {
        return 9223372036854775807L;
    }

    public long durableSequence()
    {
        return buffer.getLong(offset + 48, BYTE_ORDER);
    }


    public static int committedSequenceEncodingOffset()
    {
        return 56;
    }

    public static int committedSequenceEncodingLength()
    {
        return 8;
    }

    public static int committedSequenceSinceVersion()
    {
        return 0;
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

    public long committedSequence()
    {
        return buffer.getLong(offset + 56, BYTE_ORDER);
    }


    public static int acceptedLaterEncodingOffset()
    {
        return 64;
    }

    public static int acceptedLaterEncodingLength()
    {
        return 1;
    }

    public static int acceptedLaterSinceVersion()
    {
        return 0;
    }

    public static short acceptedLaterNullValue()
    {
        return (short)255;
    }

    public static short acceptedLaterMinValue()
    {
        return (short)0;
    }

    public static short acceptedLaterMaxValue()
    {
        return (short)254;
    }

    public short acceptedLater()
    {
        return ((short)(buffer.getByte(offset + 64) & 0xFF));
    }


    public static int diskHealthyEncodingOffset()
    {
        return 65;
    }

    public static int diskHealthyEncodingLength()
    {
        return 1;
    }

    public static int diskHealthySinceVersion()
    {
        return 0;
    }

    public static short diskHealthyNullValue()
    {
        return (short)255;
    }

    public static short diskHealthyMinValue()
    {
        return (short)0;
    }

    public static short diskHealthyMaxValue()
    {
        return (short)254;
    }

    public short diskHealthy()
    {
        return ((short)(buffer.getByte(offset + 65) & 0xFF));
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
        builder.append("decidedEpoch=");
        builder.append(this.decidedEpoch());
        builder.append('|');
        builder.append("receivedEpoch=");
        builder.append(this.receivedEpoch());
        builder.append('|');
        builder.append("receivedIncarnation=");
        builder.append(this.receivedIncarnation());
        builder.append('|');
        builder.append("receivedSequence=");
        builder.append(this.receivedSequence());
        builder.append('|');
        builder.append("durableEpoch=");
        builder.append(this.durableEpoch());
        builder.append('|');
        builder.append("durableIncarnation=");
        builder.append(this.durableIncarnation());
        builder.append('|');
        builder.append("durableSequence=");
        builder.append(this.durableSequence());
        builder.append('|');
        builder.append("committedSequence=");
        builder.append(this.committedSequence());
        builder.append('|');
        builder.append("acceptedLater=");
        builder.append(this.acceptedLater());
        builder.append('|');
        builder.append("diskHealthy=");
        builder.append(this.diskHealthy());
        builder.append(')');

        return builder;
    }
}
