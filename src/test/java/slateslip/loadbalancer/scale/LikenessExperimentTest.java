package slateslip.loadbalancer.scale;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class LikenessExperimentTest {
  @Test
  void valuesWithinATenthOfTheRealValueAreAlike() {
    assertTrue(LikenessExperiment.alike(100, 90));
    assertTrue(LikenessExperiment.alike(0, 0));
    assertFalse(LikenessExperiment.alike(100, 89.9));
    assertFalse(LikenessExperiment.alike(100, 110.1));
    assertFalse(LikenessExperiment.alike(0, 1));
  }
}
