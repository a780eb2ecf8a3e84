package slateslip.standin;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the median and range of several values. */
class SpreadTest {
  @Test
  void medianOfOddCountIsMiddleValue() {
    assertThat(Spread.of(List.of(9.0, 1.0, 4.0)), is(new Spread(4, 1, 9)));
  }

  @Test
  void medianOfEvenCountIsMeanOfMiddleValues() {
    assertThat(Spread.of(List.of(8.0, 1.0, 4.0, 2.0)), is(new Spread(3, 1, 8)));
  }

  @Test
  void singleValueIsMedianMinimumAndMaximum() {
    assertThat(Spread.of(List.of(2.5)).toString(), is("2.50 (2.50 to 2.50)"));
  }
}
