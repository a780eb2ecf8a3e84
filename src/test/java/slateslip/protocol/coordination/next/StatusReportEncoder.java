/* Generated SBE (Simple Binary Encoding) message codec. */
package slateslip.protocol.coordination.next;

import org.agrona.MutableDirectBuffer;

@SuppressWarnings("all")
public final class StatusReportEncoder
{
    public static final int SCHEMA_ID = 103;
    public static final int SCHEMA_VERSION = 1;
    public static final String SEMANTIC_VERSION = "1.0";
    public static final int ENCODED_LENGTH = 66;
    public static final java.nio.ByteOrder BYTE_ORDER = java.nio.ByteOrder.LITTLE_ENDIAN;

    private int offset;
    private MutableDirectBuffer buffer;

    public StatusReportEncoder wrap(final MutableDirectBuffer buffer, final int offset)
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

    public static int decidedEpochEncodingOffset()
    {
        return 0;
    }

    public static int decidedEpochEncodingLength()
    {
        return 8;
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

    public StatusReportEncoder decidedEpoch(final long value)
    {
        buffer.putLong(offset + 0, value, BYTE_ORDER);
        return this;
    }


    public static int receivedEpochEncodingOffset()
    {
        return 8;
    }

    public static int receivedEpochEncodingLength()
    {
        return 8;
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

    public StatusReportEncoder receivedEpoch(final long value)
    {
        buffer.putLong(offset + 8, value, BYTE_ORDER);
        return this;
    }


    public static int receivedIncarnationEncodingOffset()
    {
        return 16;
    }

    public static int receivedIncarnationEncodingLength()
    {
        return 8;
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

    public StatusReportEncoder receivedIncarnation(final long value)
    {
        buffer.putLong(offset + 16, value, BYTE_ORDER);
        return this;
    }


    public static int receivedSequenceEncodingOffset()
    {
        return 24;
    }

    public static int receivedSequenceEncodingLength()
    {
        return 8;
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

    public StatusReportEncoder receivedSequence(final long value)
    {
        buffer.putLong(offset + 24, value, BYTE_ORDER);
        return this;
    }


    public static int durableEpochEncodingOffset()
    {
        return 32;
    }

    public static int durableEpochEncodingLength()
    {
        return 8;
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

    public StatusReportEncoder durableEpoch(final long value)
    {
        buffer.putLong(offset + 32, value, BYTE_ORDER);
        return this;
    }


    public static int durableIncarnationEncodingOffset()
    {
        return 40;
    }

    public static int durableIncarnationEncodingLength()
    {
        return 8;
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

    public StatusReportEncoder durableIncarnation(final long value)
    {
        buffer.putLong(offset + 40, value, BYTE_ORDER);
        return this;
    }


    public static int durableSequenceEncodingOffset()
    {
        return 48;
    }

    public static int durableSequenceEncodingLength()
    {
        return 8;
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

    public StatusReportEncoder durableSequence(final long value)
    {
        buffer.putLong(offset + 48, value, BYTE_ORDER);
        return this;
    }


    public static int committedSequenceEncodingOffset()
    {
        return 56;
    }

    public static int committedSequenceEncodingLength()
    {
        return 8;
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

    public StatusReportEncoder committedSequence(final long value)
    {
        buffer.putLong(offset + 56, value, BYTE_ORDER);
        return this;
    }


    public static int acceptedLaterEncodingOffset()
    {
        return 64;
    }

    public static int acceptedLaterEncodingLength()
    {
        return 1;
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

    public StatusReportEncoder acceptedLater(final short value)
    {
        buffer.putByte(offset + 64, (byte)value);
        return this;
    }


    public static int diskHealthyEncodingOffset()
    {
        return 65;
    }

    public static int diskHealthyEncodingLength()
    {
        return 1;
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

    public StatusReportEncoder diskHealthy(final short value)
    {
        buffer.putByte(offset + 65, (byte)value);
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

        final StatusReportDecoder decoder = new StatusReportDecoder();
        decoder.wrap(buffer, offset);

        return decoder.appendTo(builder);
    }
}
