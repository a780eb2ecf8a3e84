/* Generated SBE (Simple Binary Encoding) message codec. */
package slateslip.protocol.coordination.next;

import org.agrona.MutableDirectBuffer;

@SuppressWarnings("all")
public final class ViewImageEncoder
{
    public static final int BLOCK_LENGTH = 20;
    public static final int TEMPLATE_ID = 20;
    public static final int SCHEMA_ID = 103;
    public static final int SCHEMA_VERSION = 1;
    public static final String SEMANTIC_VERSION = "1.0";
    public static final java.nio.ByteOrder BYTE_ORDER = java.nio.ByteOrder.LITTLE_ENDIAN;

    private final ViewImageEncoder parentMessage = this;
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

    public ViewImageEncoder wrap(final MutableDirectBuffer buffer, final int offset)
    {
        if (buffer != this.buffer)
        {
            this.buffer = buffer;
        }
        this.offset = offset;
        limit(offset + BLOCK_LENGTH);

        return this;
    }

    public ViewImageEncoder wrapAndApplyHeader(
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

    public static int epochId()
    {
        return 1;
    }

    public static int epochSinceVersion()
    {
        return 0;
    }

    public static int epochEncodingOffset()
    {
        return 0;
    }

    public static int epochEncodingLength()
    {
        return 8;
    }

    public static String epochMetaAttribute(final MetaAttribute metaAttribute)
    {
        if (MetaAttribute.PRESENCE == metaAttribute)
        {
            return "required";
        }

        return "";
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

    public ViewImageEncoder epoch(final long value)
    {
        buffer.putLong(offset + 0, value, BYTE_ORDER);
        return this;
    }


    public static int primaryId()
    {
        return 2;
    }

    public static int primarySinceVersion()
    {
        return 0;
    }

    public static int primaryEncodingOffset()
    {
        return 8;
    }

    public static int primaryEncodingLength()
    {
        return 12;
    }

    public static String primaryMetaAttribute(final MetaAttribute metaAttribute)
    {
        if (MetaAttribute.PRESENCE == metaAttribute)
        {
            return "required";
        }

        return "";
    }

    private final NodeIdentityEncoder primary = new NodeIdentityEncoder();

    public NodeIdentityEncoder primary()
    {
        primary.wrap(buffer, offset + 8);
        return primary;
    }

    private final MembersEncoder members = new MembersEncoder(this);

    public static long membersId()
    {
        return 3;
    }

    public MembersEncoder membersCount(final int count)
    {
        members.wrap(buffer, count);
        return members;
    }

    public static final class MembersEncoder
    {
        public static final int HEADER_SIZE = 4;
        private final ViewImageEncoder parentMessage;
        private MutableDirectBuffer buffer;
        private int count;
        private int index;
        private int offset;
        private int initialLimit;

        MembersEncoder(final ViewImageEncoder parentMessage)
        {
            this.parentMessage = parentMessage;
        }

        public void wrap(final MutableDirectBuffer buffer, final int count)
        {
            if (count < 0 || count > 65534)
            {
                throw new IllegalArgumentException("count outside allowed range: count=" + count);
            }

            if (buffer != this.buffer)
            {
                this.buffer = buffer;
            }

            index = 0;
            this.count = count;
            final int limit = parentMessage.limit();
            initialLimit = limit;
            parentMessage.limit(limit + HEADER_SIZE);
            buffer.putShort(limit + 0, (short)28, BYTE_ORDER);
            buffer.putShort(limit + 2, (short)count, BYTE_ORDER);
        }

        public MembersEncoder next()
        {
            if (index >= count)
            {
                throw new java.util.NoSuchElementException();
            }

            offset = parentMessage.limit();
            parentMessage.limit(offset + sbeBlockLength());
            ++index;

            return this;
        }

        public int resetCountToIndex()
        {
            count = index;
            buffer.putShort(initialLimit + 2, (short)count, BYTE_ORDER);

            return count;
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
            return 28;
        }

        public static int nodeId()
        {
            return 4;
        }

        public static int nodeSinceVersion()
        {
            return 0;
        }

        public static int nodeEncodingOffset()
        {
            return 0;
        }

        public static int nodeEncodingLength()
        {
            return 12;
        }

        public static String nodeMetaAttribute(final MetaAttribute metaAttribute)
        {
            if (MetaAttribute.PRESENCE == metaAttribute)
            {
                return "required";
            }

            return "";
        }

        private final NodeIdentityEncoder node = new NodeIdentityEncoder();

        public NodeIdentityEncoder node()
        {
            node.wrap(buffer, offset + 0);
            return node;
        }

        public static int sinceEpochId()
        {
            return 5;
        }

        public static int sinceEpochSinceVersion()
        {
            return 0;
        }

        public static int sinceEpochEncodingOffset()
        {
            return 12;
        }

        public static int sinceEpochEncodingLength()
        {
            return 8;
        }

        public static String sinceEpochMetaAttribute(final MetaAttribute metaAttribute)
        {
            if (MetaAttribute.PRESENCE == metaAttribute)
            {
                return "required";
            }

            return "";
        }

        public static long sinceEpochNullValue()
        {
            return -9223372036854775808L;
        }

        public static long sinceEpochMinValue()
        {
            return -9223372036854775807L;
        }

        public static long sinceEpochMaxValue()
        {
            return 9223372036854775807L;
        }

        public MembersEncoder sinceEpoch(final long value)
        {
            buffer.putLong(offset + 12, value, BYTE_ORDER);
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
            return 20;
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

        public MembersEncoder addedNote(final long value)
        {
            buffer.putLong(offset + 20, value, BYTE_ORDER);
            return this;
        }

    }

    private final WitnessesEncoder witnesses = new WitnessesEncoder(this);

    public static long witnessesId()
    {
        return 6;
    }

    public WitnessesEncoder witnessesCount(final int count)
    {
        witnesses.wrap(buffer, count);
        return witnesses;
    }

    public static final class WitnessesEncoder
    {
        public static final int HEADER_SIZE = 4;
        private final ViewImageEncoder parentMessage;
        private MutableDirectBuffer buffer;
        private int count;
        private int index;
        private int offset;
        private int initialLimit;

        WitnessesEncoder(final ViewImageEncoder parentMessage)
        {
            this.parentMessage = parentMessage;
        }

        public void wrap(final MutableDirectBuffer buffer, final int count)
        {
            if (count < 0 || count > 65534)
            {
                throw new IllegalArgumentException("count outside allowed range: count=" + count);
            }

            if (buffer != this.buffer)
            {
                this.buffer = buffer;
            }

            index = 0;
            this.count = count;
            final int limit = parentMessage.limit();
            initialLimit = limit;
            parentMessage.limit(limit + HEADER_SIZE);
            buffer.putShort(limit + 0, (short)12, BYTE_ORDER);
            buffer.putShort(limit + 2, (short)count, BYTE_ORDER);
        }

        public WitnessesEncoder next()
        {
            if (index >= count)
            {
                throw new java.util.NoSuchElementException();
            }

            offset = parentMessage.limit();
            parentMessage.limit(offset + sbeBlockLength());
            ++index;

            return this;
        }

        public int resetCountToIndex()
        {
            count = index;
            buffer.putShort(initialLimit + 2, (short)count, BYTE_ORDER);

            return count;
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
            return 12;
        }

        public static int nodeId()
        {
            return 7;
        }

        public static int nodeSinceVersion()
        {
            return 0;
        }

        public static int nodeEncodingOffset()
        {
            return 0;
        }

        public static int nodeEncodingLength()
        {
            return 12;
        }

        public static String nodeMetaAttribute(final MetaAttribute metaAttribute)
        {
            if (MetaAttribute.PRESENCE == metaAttribute)
            {
                return "required";
            }

            return "";
        }

        private final NodeIdentityEncoder node = new NodeIdentityEncoder();

        public NodeIdentityEncoder node()
        {
            node.wrap(buffer, offset + 0);
            return node;
        }
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

        final ViewImageDecoder decoder = new ViewImageDecoder();
        decoder.wrap(buffer, offset, BLOCK_LENGTH, SCHEMA_VERSION);

        return decoder.appendTo(builder);
    }
}
