package slateslip.routing.policy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

class RoutingPolicyTest {
  @Test
  void usesAllMechanismsByDefault() {
    for (Mechanism mechanism : Mechanism.values()) {
      assertThat(RoutingPolicy.DEFAULT.uses(mechanism), is(true));
    }
    assertThat(RoutingPolicy.without(""), is(RoutingPolicy.DEFAULT));
  }

  @Test
  void leavesOutWhatIsNamed() {
    RoutingPolicy policy = RoutingPolicy.without("spill, idle-probes");
    assertThat(policy.uses(Mechanism.SPILL), is(false));
    assertThat(policy.uses(Mechanism.IDLE_PROBES), is(false));
    assertThat(policy.uses(Mechanism.RETRIES), is(true));
  }

  @Test
  void everyNameIsRead() {
    for (Mechanism mechanism : Mechanism.values()) {
      assertThat(RoutingPolicy.without(mechanism.label()).uses(mechanism), is(false));
    }
  }

  @Test
  void unknownNameIsRejected() {
    var wrong =
        assertThrows(IllegalArgumentException.class, () -> RoutingPolicy.without("guessing"));
    assertThat(wrong.getMessage(), containsString("guessing"));
  }
}
