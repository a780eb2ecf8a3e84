/* Generated SBE (Simple Binary Encoding) message codec. */
package slateslip.protocol.coordination.next;

import org.agrona.DirectBuffer;

@SuppressWarnings("all")
public final class ViewImageDecoder
{
    public static final int BLOCK_LENGTH = 20;
    public static final int TEMPLATE_ID = 20;
    public static final int SCHEMA_ID = 103;
    public static final int SCHEMA_VERSION = 1;
    public static final String SEMANTIC_VERSION = "1.0";
    public static final java.nio.ByteOrder BYTE_ORDER = java.nio.ByteOrder.LITTLE_ENDIAN;

    private final ViewImageDecoder parentMessage = this;
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

    public ViewImageDecoder wrap(
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

    public ViewImageDecoder wrapAndApplyHeader(
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

    public ViewImageDecoder sbeRewind()
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

    public long epoch()
    {
        return buffer.getLong(offset + 0, BYTE_ORDER);
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

    private final NodeIdentityDecoder primary = new NodeIdentityDecoder();

    public NodeIdentityDecoder primary()
    {
        primary.wrap(buffer, offset + 8);
        return primary;
    }

    private final MembersDecoder members = new MembersDecoder(this);

    public static long membersDecoderId()
    {
        return 3;
    }

    public static int membersDecoderSinceVersion()
    {
        return 0;
    }

    public MembersDecoder members()
    {
        members.wrap(buffer);
        return members;
    }

    public static final class MembersDecoder
        implements Iterable<MembersDecoder>, java.util.Iterator<MembersDecoder>
    {
        public static final int HEADER_SIZE = 4;
        private final ViewImageDecoder parentMessage;
        private DirectBuffer buffer;
        private int count;
        private int index;
        private int offset;
        private int blockLength;

        MembersDecoder(final ViewImageDecoder parentMessage)
        {
            this.parentMessage = parentMessage;
        }

        public void wrap(final DirectBuffer buffer)
        {
            if (buffer != this.buffer)
            {
                this.buffer = buffer;
            }

            index = 0;
            final int limit = parentMessage.limit();
            parentMessage.limit(limit + HEADER_SIZE);
            blockLength = (buffer.getShort(limit + 0, BYTE_ORDER) & 0xFFFF);
            count = (buffer.getShort(limit + 2, BYTE_ORDER) & 0xFFFF);
        }

        public MembersDecoder next()
        {
            if (index >= count)
            {
                throw new java.util.NoSuchElementException();
            }

            offset = parentMessage.limit();
            parentMessage.limit(offset + blockLength);
            ++index;

            return this;
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

        public int actingBlockLength()
        {
            return blockLength;
        }

        public int actingVersion()
        {
            return parentMessage.actingVersion;
        }

        public int count()
        {
            return count;
        }

        public java.util.Iterator<MembersDecoder> iterator()
        {
            return this;
        }

        public void remove()
        {
            throw new UnsupportedOperationException();
        }

        public boolean hasNext()
        {
            return index < count;
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

        private final NodeIdentityDecoder node = new NodeIdentityDecoder();

        public NodeIdentityDecoder node()
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

        public long sinceEpoch()
        {
            return buffer.getLong(offset + 12, BYTE_ORDER);
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

        public long addedNote()
        {
            if (parentMessage.actingVersion < 1)
            {
                return -9223372036854775808L;
            }

            return buffer.getLong(offset + 20, BYTE_ORDER);
        }


        public StringBuilder appendTo(final StringBuilder builder)
        {
            if (null == buffer)
            {
                return builder;
            }

            builder.append('(');
            builder.append("node=");
            final NodeIdentityDecoder node = this.node();
            if (null != node)
            {
                node.appendTo(builder);
            }
            else
            {
                builder.append("null");
            }
            builder.append('|');
            builder.append("sinceEpoch=");
            builder.append(this.sinceEpoch());
            builder.append('|');
            builder.append("addedNote=");
            builder.append(this.addedNote());
            builder.append(')');

            return builder;
        }
        
        public MembersDecoder sbeSkip()
        {

            return this;
        }
    }

    private final WitnessesDecoder witnesses = new WitnessesDecoder(this);

    public static long witnessesDecoderId()
    {
        return 6;
    }

    public static int witnessesDecoderSinceVersion()
    {
        return 0;
    }

    public WitnessesDecoder witnesses()
    {
        witnesses.wrap(buffer);
        return witnesses;
    }

    public static final class WitnessesDecoder
        implements Iterable<WitnessesDecoder>, java.util.Iterator<WitnessesDecoder>
    {
        public static final int HEADER_SIZE = 4;
        private final ViewImageDecoder parentMessage;
        private DirectBuffer buffer;
        private int count;
        private int index;
        private int offset;
        private int blockLength;

        WitnessesDecoder(final ViewImageDecoder parentMessage)
        {
            this.parentMessage = parentMessage;
        }

        public void wrap(final DirectBuffer buffer)
        {
            if (buffer != this.buffer)
            {
                this.buffer = buffer;
            }

            index = 0;
            final int limit = parentMessage.limit();
            parentMessage.limit(limit + HEADER_SIZE);
            blockLength = (buffer.getShort(limit + 0, BYTE_ORDER) & 0xFFFF);
            count = (buffer.getShort(limit + 2, BYTE_ORDER) & 0xFFFF);
        }

        public WitnessesDecoder next()
        {
            if (index >= count)
            {
                throw new java.util.NoSuchElementException();
            }

            offset = parentMessage.limit();
            parentMessage.limit(offset + blockLength);
            ++index;

            return this;
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

        public int actingBlockLength()
        {
            return blockLength;
        }

        public int actingVersion()
        {
            return parentMessage.actingVersion;
        }

        public int count()
        {
            return count;
        }

        public java.util.Iterator<WitnessesDecoder> iterator()
        {
            return this;
        }

        public void remove()
        {
            throw new UnsupportedOperationException();
        }

        public boolean hasNext()
        {
            return index < count;
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

        private final NodeIdentityDecoder node = new NodeIdentityDecoder();

        public NodeIdentityDecoder node()
        {
            node.wrap(buffer, offset + 0);
            return node;
        }

        public StringBuilder appendTo(final StringBuilder builder)
        {
            if (null == buffer)
            {
                return builder;
            }

            builder.append('(');
            builder.append("node=");
            final NodeIdentityDecoder node = this.node();
            if (null != node)
            {
                node.appendTo(builder);
            }
            else
            {
                builder.append("null");
            }
            builder.append(')');

            return builder;
        }
        
        public WitnessesDecoder sbeSkip()
        {

            return this;
        }
    }

    public String toString()
    {
        if (null == buffer)
        {
            return "";
        }

        final ViewImageDecoder decoder = new ViewImageDecoder();
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
        builder.append("[ViewImage](sbeTemplateId=");
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
        builder.append("epoch=");
        builder.append(this.epoch());
        builder.append('|');
        builder.append("primary=");
        final NodeIdentityDecoder primary = this.primary();
        if (null != primary)
        {
            primary.appendTo(builder);
        }
        else
        {
            builder.append("null");
        }
        builder.append('|');
        builder.append("members=[");
        final int membersOriginalOffset = members.offset;
        final int membersOriginalIndex = members.index;
        final MembersDecoder members = this.members();
        if (members.count() > 0)
        {
            while (members.hasNext())
            {
                members.next().appendTo(builder);
                builder.append(',');
            }
            builder.setLength(builder.length() - 1);
        }
        members.offset = membersOriginalOffset;
        members.index = membersOriginalIndex;
        builder.append(']');
        builder.append('|');
        builder.append("witnesses=[");
        final int witnessesOriginalOffset = witnesses.offset;
        final int witnessesOriginalIndex = witnesses.index;
        final WitnessesDecoder witnesses = this.witnesses();
        if (witnesses.count() > 0)
        {
            while (witnesses.hasNext())
            {
                witnesses.next().appendTo(builder);
                builder.append(',');
            }
            builder.setLength(builder.length() - 1);
        }
        witnesses.offset = witnessesOriginalOffset;
        witnesses.index = witnessesOriginalIndex;
        builder.append(']');

        limit(originalLimit);

        return builder;
    }
    
    public ViewImageDecoder sbeSkip()
    {
        sbeRewind();
        MembersDecoder members = this.members();
        if (members.count() > 0)
        {
            while (members.hasNext())
            {
                members.next();
                members.sbeSkip();
            }
        }
        WitnessesDecoder witnesses = this.witnesses();
        if (witnesses.count() > 0)
        {
            while (witnesses.hasNext())
            {
                witnesses.next();
                witnesses.sbeSkip();
            }
        }

        return this;
    }
}
