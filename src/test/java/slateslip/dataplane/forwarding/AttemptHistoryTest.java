package slateslip.dataplane.forwarding;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;
import slateslip.dataplane.backend.SentBytes;
import slateslip.routing.RouterInput.AttemptOutcome;
import slateslip.routing.RouterInput.AttemptOutcome.Kind;

class AttemptHistoryTest {
  @Test
  void toStringShowsSentBytesOnlyOfPartlySentRequests() {
    AttemptHistory history = new AttemptHistory();
    history.attemptStarted("i-1");
    history.attemptStarted("i-2");
    history.attemptStarted("i-3");
    history.attemptEnded(0, new AttemptOutcome(Kind.BROKEN, 0), new SentBytes(70, 100));
    history.attemptEnded(1, new AttemptOutcome(Kind.SUCCESS, 200), new SentBytes(100, 100));
    assertThat(history.toString(), is("[i-1:BROKEN:70/100 i-2:SUCCESS i-3:UNDER_WAY]"));
  }
}
