package slateslip.scale;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class QuantilesTest {
  @Test
  void theMedianThe99thOfAHundredAndTheLast() {
    List<Double> times = IntStream.rangeClosed(1, 200).mapToObj(time -> 201.0 - time).toList();
    assertThat(Quantiles.of(times), is(new Quantiles(100, 198, 200)));
  }

  @Test
  void oneTimeIsAllOfThem() {
    assertThat(Quantiles.of(List.of(7.0)), is(new Quantiles(7, 7, 7)));
  }

  @Test
  void noneAreNoNumbers() {
    assertThat(Quantiles.of(List.of()).last(), is(Double.NaN));
  }
}
