package gatefront.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
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
        assertEquals(new Arrivals.Spread(2, 2, 4, 8, 8), arrivals.spread(0, List.of(1_000L)));
        assertEquals(new Arrivals.Spread(4, 4, 5, 8, 8), arrivals.spread(0, List.of(1_000L, 2_000L)));
    }

    @Test
    void whatHasNotArrivedIsNotCounted() {
        Arrivals arrivals = new Arrivals(3);
        arrivals.expect(0, 100);
        arrivals.applied(2, 100, 5_000);
        assertEquals(new Arrivals.Spread(1, 6, 4, 4, 4), arrivals.spread(0, List.of(1_000L, 1_000L)));
    }

    @Test
    void aListThatWasThereBeforeSaysNothing() {
        Arrivals arrivals = new Arrivals(1);
        arrivals.expect(0, 100);
        assertThrows(IllegalArgumentException.class, () -> arrivals.expect(1, 100));
    }
}
