/* Generated SBE (Simple Binary Encoding) message codec. */
package slateslip.protocol.coordination.next;

@SuppressWarnings("all")
public enum Flag
{
    NO((short)0),

    YES((short)1),

    /**
     * To be used to represent not present or null.
     */
    NULL_VAL((short)255);

    private final short value;

    Flag(final short value)
    {
        this.value = value;
    }

    /**
     * The raw encoded value in the Java type representation.
     *
     * @return the raw value encoded.
     */
    public short value()
    {
        return value;
    }

    /**
     * Lookup the enum value representing the value.
     *
     * @param value encoded to be looked up.
     * @return the enum value representing the value.
     */
    public static Flag get(final short value)
    {
        switch (value)
        {
            case 0: return NO;
            case 1: return YES;
            case 255: return NULL_VAL;
        }

        throw new IllegalArgumentException("Unknown value: " + value);
    }
}
