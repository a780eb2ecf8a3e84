package gatefront.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

class ArrivalsTest {
    @Test
    void aLaterListHoldsTheEarlierChangesToo() {
        Arrivals arrivals = new Arrivals(2);
        arrivals.expect(0, 100);
        arrivals.expect(1, 101);
        arrivals.applied(0, 100, 5_000);
        arrivals.applied(0, 101, 7_000);
        arrivals.applied(1, 101, 9_000);
        arrivals.applied(1, 555, 10_000); // a list that nobody announced
        assertEquals(new Arrivals.Spread(2, 2, 4, 8, 8), arrivals.spread(0, 1_000));
        assertEquals(new Arrivals.Spread(2, 2, 6, 8, 8), arrivals.spread(1, 1_000));
    }

    @Test
    void whatHasNotArrivedIsNotCounted() {
        Arrivals arrivals = new Arrivals(3);
        arrivals.expect(0, 100);
        arrivals.applied(2, 100, 5_000);
        assertEquals(1, arrivals.spread(0, 1_000).agents());
        assertEquals(0, arrivals.spread(1, 1_000).agents());
    }

    @Test
    void aListThatWasThereBeforeSaysNothing() {
        Arrivals arrivals = new Arrivals(1);
        arrivals.expect(0, 100);
        assertThrows(IllegalArgumentException.class, () -> arrivals.expect(1, 100));
    }
}
