package slateslip.protocol.exchange;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import slateslip.distribution.AgentShares;
import slateslip.distribution.AgentShares.TenantShare;
import slateslip.distribution.BackendSession;
import slateslip.distribution.TenantDemand;
import slateslip.distribution.exchange.ExchangeMessage;
import slateslip.distribution.exchange.ExchangeMessage.AgentDemand;
import slateslip.distribution.exchange.ExchangeMessage.AllottedShares;
import slateslip.distribution.exchange.OperatorAnswer;
import slateslip.distribution.exchange.OperatorCall;
import slateslip.distribution.exchange.SessionEntry;
import slateslip.distribution.exchange.SessionRenewal;
import slateslip.distribution.exchange.StateImage;
import slateslip.distribution.exchange.StateImage.CommittedChange;
import slateslip.protocol.Decoded;

/** What is written is read back; what is cut or damaged harms nothing. */
class ExchangeCodecTest {
  private static final byte[] BODY = "{\"version\":7}".getBytes(StandardCharsets.UTF_8);

  private final ExchangeCodec codec = new ExchangeCodec();

  static Stream<ExchangeMessage> messages() {
    BackendSession session =
        new BackendSession("i-1", "s", "10.1.0.9:8080", "z", "v1", 64, true, 250, 1L << 40);
    AgentDemand demand = new AgentDemand("edge-1", 5, List.of(new TenantDemand("a", 9, 8)));
    AgentShares shares = new AgentShares(6, List.of(new TenantShare("a", 0.5)));
    return Stream.of(
        new ExchangeMessage.Greeting("10.1.0.6", -9),
        new ExchangeMessage.Beat(5, 4, true, List.of("10.1.0.6", "10.2.0.6")),
        new ExchangeMessage.SessionChanges(
            3, true, List.of(new SessionEntry(session, 9, 8)), List.of("i-0")),
        new ExchangeMessage.SessionChanges(0, false, List.of(), List.of()),
        new ExchangeMessage.SessionRenewals(List.of(new SessionRenewal("i-1", 20))),
        new ExchangeMessage.SessionsStored(3),
        new ExchangeMessage.Delivered(Long.MAX_VALUE),
        new ExchangeMessage.Demands(List.of(demand, new AgentDemand("edge-2", 6, List.of()))),
        new ExchangeMessage.Allotted(List.of(new AllottedShares("edge-1", shares))));
  }

  @ParameterizedTest
  @MethodSource("messages")
  void readsWhatItWrote(ExchangeMessage message) {
    assertThat(codec.decode(codec.encode(message)), equalTo(new Decoded.Message<>(message)));
  }

  @ParameterizedTest
  @MethodSource("messages")
  void aMessageCutAnywhereIsMalformed(ExchangeMessage message) {
    byte[] whole = codec.encode(message);
    for (int length = 0; length < whole.length; length++) {
      Decoded<ExchangeMessage> decoded = codec.decode(Arrays.copyOf(whole, length));
      assertThat("cut at " + length, decoded, is(instanceOf(Decoded.Malformed.class)));
    }
  }

  @Test
  void callsAndAnswersKeepTheirBodies() {
    for (OperatorCall.Method method : OperatorCall.Method.values()) {
      OperatorCall call = new OperatorCall(method, 6, BODY);
      ExchangeMessage.Forwarded forwarded =
          (ExchangeMessage.Forwarded) read(new ExchangeMessage.Forwarded(2, call));
      assertThat(forwarded.id(), is(2L));
      assertThat(forwarded.call().method(), is(method));
      assertThat(forwarded.call().baseVersion(), is(6L));
      assertThat(forwarded.call().body(), equalTo(BODY));
    }
    OperatorAnswer answer = new OperatorAnswer(412, 7, BODY);
    ExchangeMessage.Answered answered =
        (ExchangeMessage.Answered) read(new ExchangeMessage.Answered(2, answer));
    assertThat(answered.answer().status(), is(412));
    assertThat(answered.answer().version(), is(7L));
    assertThat(answered.answer().body(), equalTo(BODY));
  }

  @Test
  void theStateAndItsRecordsAreReadBack() {
    List<CommittedChange> changes =
        List.of(new CommittedChange(0, 3, 1, 2), new CommittedChange(3, 9, -1, -2));
    Decoded<StateImage> image =
        StateImageCodec.decode(StateImageCodec.encode(new StateImage(changes, BODY)));
    StateImage read = ((Decoded.Message<StateImage>) image).value();
    assertThat(read.changes(), equalTo(changes));
    assertThat(read.document(), equalTo(BODY));

    OperatorCall call = new OperatorCall(OperatorCall.Method.PATCH, 4, BODY);
    byte[] record = ChangeCodec.encode(call);
    assertThat(StateImageCodec.decode(record), is(instanceOf(Decoded.Unknown.class)));
    OperatorCall found = ((Decoded.Message<OperatorCall>) ChangeCodec.decode(record)).value();
    assertThat(found.method(), is(OperatorCall.Method.PATCH));
    assertThat(found.body(), equalTo(BODY));
  }

  @Test
  void damageIsNeverThrownBack() {
    Random random = new Random(3);
    List<byte[]> whole = messages().map(codec::encode).toList();
    for (int round = 0; round < 20_000; round++) {
      byte[] bytes = whole.get(random.nextInt(whole.size())).clone();
      bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
      bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
      codec.decode(bytes);
      ChangeCodec.decode(bytes);
      StateImageCodec.decode(bytes);
    }
  }

  private ExchangeMessage read(ExchangeMessage message) {
    Decoded<ExchangeMessage> decoded = codec.decode(codec.encode(message));
    return ((Decoded.Message<ExchangeMessage>) decoded).value();
  }
}
