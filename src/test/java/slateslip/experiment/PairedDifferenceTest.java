package slateslip.experiment;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.Test;

class PairedDifferenceTest {
  @Test
  void equalValuesHaveZeroDifference() {
    PairedDifference same = PairedDifference.of(List.of(0.5, 0.7), List.of(0.5, 0.7));
    assertThat(same.mean(), is(0.0));
    assertThat(same.halfWidth(), is(0.0));
  }

  @Test
  void intervalUsesStudentsTQuantile() {
    PairedDifference difference =
        PairedDifference.of(List.of(1.1, 2.2, 3.3), List.of(1.0, 2.0, 3.0));
    assertThat(difference.mean(), is(closeTo(0.2, 1e-9)));
    assertThat(difference.halfWidth(), is(closeTo(4.303 * 0.1 / Math.sqrt(3), 1e-9)));
  }

  @Test
  void intervalOfOneSeedIsNaN() {
    assertThat(Double.isNaN(PairedDifference.of(List.of(1.0), List.of(0.9)).halfWidth()), is(true));
  }
}
