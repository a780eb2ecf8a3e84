package slateslip.distribution.exchange;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Who is in reach, by beats both ways. */
class ReachabilityTest {
  private static final String SELF = "10.1.0.1";
  private static final String PEER = "10.2.0.1";
  private static final String OTHER = "10.3.0.1";
  private static final long START = 5_000_000;
  private static final long INCARNATION = 0x2b5c_9d10_77e1_0345L;
  private static final long FORMER_INCARNATION = 0x1111_9d10_77e1_0345L;

  private final Reachability reachability = new Reachability(SELF, INCARNATION);

  @Test
  void learnsEachAgentOnceAndNeverItself() {
    assertThat(reachability.learn(START, List.of(SELF, PEER, PEER)), contains(PEER));
    assertThat(reachability.learn(START, List.of(PEER)), is(empty()));
  }

  @Test
  void aPeerThatIsHeardButDoesNotHearIsNotInReach() {
    heard(START, PEER, 1, 0);
    assertThat(reachability.isHeard(START, PEER), is(true));
    assertThat(reachability.isReached(START, PEER), is(false));
    heard(START, PEER, 2, START - Reachability.SILENCE_MICROS);
    assertThat(reachability.isReached(START, PEER), is(false));
    heard(START, PEER, 3, START - 1);
    assertThat(reachability.isReached(START, PEER), is(true));
  }

  @Test
  void theEchoOfAnEarlierLifesBeatShowsNothing() {
    Reachability former = new Reachability(SELF, FORMER_INCARNATION);
    long formerBeat = former.numberOf(START + 900_000_000);
    reachability.heard(
        START, PEER, new ControlPeerMessage.Heartbeat(1, formerBeat, true, List.of()));
    assertThat(reachability.isReached(START, PEER), is(false));
    assertThat(reachability.echoedMicros(PEER), is(0L));
    long laterBeat = new Reachability(SELF, -FORMER_INCARNATION).numberOf(START);
    reachability.heard(
        START, PEER, new ControlPeerMessage.Heartbeat(2, laterBeat, true, List.of()));
    assertThat(reachability.isReached(START, PEER), is(false));
  }

  @Test
  void silenceEndsReach() {
    heard(START, PEER, 1, START);
    assertThat(reachability.reached(START + Reachability.SILENCE_MICROS - 1), contains(PEER));
    assertThat(reachability.reached(START + Reachability.SILENCE_MICROS), is(empty()));
  }

  @Test
  void aMajorityCountsThisAgentOnlyIfItIsOfTheElectorate() {
    heard(START, PEER, 1, START);
    assertThat(reachability.reachesMajority(START, List.of(SELF, PEER, OTHER)), is(true));
    assertThat(reachability.reachesMajority(START, List.of(PEER, OTHER, "10.4.0.1")), is(false));
    assertThat(reachability.reachesMajority(START, List.of(SELF, PEER, OTHER, "x")), is(false));
  }

  @Test
  void echoesTheNewestBeatAndForgetsItWhenThePeerStartsAnew() {
    heard(START, PEER, 41, START);
    assertThat(reachability.newestBeat(PEER), is(41L));
    reachability.restarted(PEER);
    assertThat(reachability.newestBeat(PEER), is(0L));
  }

  @Test
  void agentsLongUnheardAreForgottenUnlessNamed() {
    reachability.learn(START, List.of(PEER, OTHER));
    long later = START + 60_000_000;
    assertThat(reachability.forget(later, List.of(OTHER)), contains(PEER));
    assertThat(reachability.known(), contains(OTHER));
  }

  private void heard(long now, String peer, long number, long echoed) {
    long echo = echoed == 0 ? 0 : reachability.numberOf(echoed);
    reachability.heard(now, peer, new ControlPeerMessage.Heartbeat(number, echo, true, List.of()));
  }
}
