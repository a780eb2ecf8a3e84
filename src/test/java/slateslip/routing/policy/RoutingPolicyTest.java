package slateslip.routing.policy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RoutingPolicyTest {
  @Test
  void usesAllMechanismsByDefault() {
    for (Mechanism mechanism : Mechanism.values()) {
      assertThat(RoutingPolicy.DEFAULT.uses(mechanism), is(true));
    }
    assertThat(RoutingPolicy.without(""), is(RoutingPolicy.DEFAULT));
  }

  @Test
  void withoutDisablesTheNamedMechanisms() {
    RoutingPolicy policy = RoutingPolicy.without("spill, idle-probes");
    assertThat(policy.uses(Mechanism.SPILL), is(false));
    assertThat(policy.uses(Mechanism.IDLE_PROBES), is(false));
    assertThat(policy.uses(Mechanism.RETRIES), is(true));
  }

  @Test
  void withoutParsesEveryLabel() {
    for (Mechanism mechanism : Mechanism.values()) {
      assertThat(RoutingPolicy.without(mechanism.label()).uses(mechanism), is(false));
    }
  }

  @Test
  void withoutRejectsAnUnknownLabel() {
    var exception =
        assertThrows(IllegalArgumentException.class, () -> RoutingPolicy.without("guessing"));
    assertThat(exception.getMessage(), containsString("guessing"));
  }

  @Test
  void everyParameterHasADefaultInRangeAndIsParsed() {
    for (RoutingParameter parameter : RoutingParameter.values()) {
      assertThat(parameter.label(), parameter.permits(parameter.defaultValue()), is(true));
      String assignment = parameter.label() + "=" + parameter.defaultValue();
      RoutingPolicy policy = RoutingPolicy.of("", assignment);
      assertThat(policy.value(parameter), is(RoutingPolicy.DEFAULT.value(parameter)));
    }
  }

  @Test
  void unassignedParametersKeepTheirDefaults() {
    RoutingPolicy policy = RoutingPolicy.of("spill", "overdue-millis=400, spill-fraction=0.6");
    assertThat(policy.micros(RoutingParameter.OVERDUE_MILLIS), is(400_000L));
    assertThat(policy.value(RoutingParameter.SPILL_FRACTION), is(0.6));
    assertThat(policy.uses(Mechanism.SPILL), is(false));
    assertThat(
        policy.value(RoutingParameter.FULL_SLOTS_FRACTION),
        is(RoutingParameter.FULL_SLOTS_FRACTION.defaultValue()));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"guessing=1", "overdue-millis", "overdue-millis=soon", "spill-fraction=-1"})
  void invalidAssignmentsAreRejected(String assignment) {
    var exception =
        assertThrows(IllegalArgumentException.class, () -> RoutingPolicy.of("", assignment));
    assertThat(exception.getMessage(), containsString(assignment.split("=", -1)[0]));
  }
}
