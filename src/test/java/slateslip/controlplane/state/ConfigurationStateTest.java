package slateslip.controlplane.state;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import slateslip.configuration.ConfigurationDocument;
import slateslip.configuration.ConfigurationOutcome;
import slateslip.coordination.PreparedCommand;
import slateslip.distribution.delivery.ConfigurationSource;
import slateslip.distribution.peer.OperatorRequest;
import slateslip.distribution.peer.OperatorRequest.Method;
import slateslip.distribution.peer.OperatorResponse;
import slateslip.protocol.peer.OperatorRequestCodec;
import slateslip.protocol.peer.OperatorResponseCodec;

/**
 * Tests changes based on the newest version, repeated requests, conflicting requests, and copies of
 * the state made from snapshots.
 */
class ConfigurationStateTest {
  private final ConfigurationState state = new ConfigurationState();

  @Test
  void validChangeIsCommittedAndItsRepetitionIsAcknowledged() {
    OperatorRequest first = put(0, 3);
    commit(first);
    assertThat(state.version(), is(3L));
    OperatorResponse repeated = respond(first);
    assertThat(repeated.status(), is(OperatorResponse.OK));
    assertThat(repeated.version(), is(3L));
  }

  @Test
  void repetitionOfEarlierChangeAfterLaterChangesIsAcknowledged() {
    OperatorRequest first = put(0, 3);
    commit(first);
    commit(put(3, 5));
    commit(patch(5, 9));
    assertThat(respond(first).status(), is(OperatorResponse.OK));
    assertThat(respond(first).version(), is(3L));
  }

  @Test
  void secondChangeBasedOnSameVersionIsRejected() {
    commit(put(0, 3));
    commit(put(3, 5));
    assertThat(respond(put(3, 6)).status(), is(OperatorResponse.CONFLICT));
    assertThat(
        respond(new OperatorRequest(Method.PUT, 3, body(5, "other"))).status(),
        is(OperatorResponse.CONFLICT));
    assertThat(state.version(), is(5L));
  }

  /**
   * A change that a primary of another software version committed may be invalid for this version.
   */
  @Test
  void committedChangeInvalidForThisSoftwareVersionIsApplied() {
    commit(put(0, 3));
    String unusable =
        "{\"version\":4,\"upsert\":{\"routes\":[{\"name\":\"new-kind\",\"timeout_ms\":0}]}}";
    OperatorRequest patch =
        new OperatorRequest(Method.PATCH, 3, unusable.getBytes(StandardCharsets.UTF_8));
    assertThat(respond(patch).status(), is(OperatorResponse.INVALID));
    int usableBefore = state.document().orElseThrow().configuration().routes().size();
    state.apply(OperatorRequestCodec.encode(patch));
    assertThat(state.version(), is(4L));
    String json = new String(state.document().orElseThrow().toJson(), StandardCharsets.UTF_8);
    assertThat(json, containsString("{\"name\":\"new-kind\",\"timeout_ms\":0}"));
    assertThat(state.document().orElseThrow().configuration().routes().size(), is(usableBefore));
    ConfigurationState copy = new ConfigurationState();
    copy.restore(state.snapshot());
    assertThat(copy.snapshot(), equalTo(state.snapshot()));
    assertThat(respond(patch).status(), is(OperatorResponse.OK));
  }

  @Test
  void invalidChangeIsRejectedWithReason() {
    commit(put(0, 3));
    assertThat(respond(put(3, 3)).status(), is(OperatorResponse.INVALID));
    OperatorResponse truncated =
        respond(
            new OperatorRequest(Method.PUT, 3, "{\"version\":".getBytes(StandardCharsets.UTF_8)));
    assertThat(truncated.status(), is(OperatorResponse.INVALID));
    assertThat(new String(truncated.body(), StandardCharsets.UTF_8), containsString("ends early"));
  }

  @Test
  void patchBeforeFirstConfigurationIsRejected() {
    assertThat(respond(patch(0, 3)).status(), is(OperatorResponse.INVALID));
  }

  @Test
  void undecodableCommandIsRejected() {
    assertThat(state.prepare(new byte[] {1, 2, 3}), is(instanceOf(PreparedCommand.Response.class)));
  }

  @Test
  void stateRestoredFromSnapshotRecognizesCommittedChanges() {
    OperatorRequest first = put(0, 3);
    OperatorRequest second = patch(3, 7);
    commit(first);
    commit(second);
    ConfigurationState copy = new ConfigurationState();
    copy.restore(state.snapshot());
    assertThat(copy.version(), is(7L));
    assertThat(copy.document().get().toJson(), equalTo(state.document().get().toJson()));
    assertThat(responseOf(copy, first).status(), is(OperatorResponse.OK));
    assertThat(responseOf(copy, second).status(), is(OperatorResponse.OK));
    assertThat(copy.snapshot(), equalTo(state.snapshot()));
  }

  @Test
  void sameRecordsProduceSameState() {
    ConfigurationState follower = new ConfigurationState();
    for (OperatorRequest request : new OperatorRequest[] {put(0, 3), patch(3, 7), put(7, 8)}) {
      byte[] record = prepared(request);
      state.apply(record);
      follower.apply(record);
    }
    assertThat(follower.snapshot(), equalTo(state.snapshot()));
  }

  @Test
  void restoringEmptySnapshotResetsState() {
    commit(put(0, 3));
    state.restore(new byte[0]);
    assertThat(state.version(), is(0L));
    commit(put(0, 3));
    assertThat(state.version(), is(3L));
  }

  @Test
  void patchesAreKeyedByBaseVersion() {
    commit(put(0, 3));
    commit(patch(3, 7));
    assertThat(state.patchFrom(3).get().toVersion(), is(7L));
    assertThat(state.patchFrom(3).get().body(), equalTo(patch(3, 7).body()));
    assertThat(state.patchFrom(0).isPresent(), is(false));
  }

  /** Guards against a complete configuration that is always sent whole (review, case 7). */
  @Test
  void differenceOfTwoCompleteConfigurationsIsKeptAsPatch() {
    commit(new OperatorRequest(Method.PUT, 0, manyRoutes(3, 7)));
    commit(new OperatorRequest(Method.PUT, 3, manyRoutes(5, 8)));
    ConfigurationSource.Patch patch = state.patchFrom(3).orElseThrow();
    assertThat(patch.toVersion(), is(5L));
    assertThat(patch.body().length, is(lessThan(manyRoutes(5, 8).length / 10)));
    ConfigurationOutcome before = ConfigurationDocument.committed(manyRoutes(3, 7));
    ConfigurationOutcome after =
        ((ConfigurationOutcome.Parsed) before).document().committedPatch(patch.body());
    assertThat(
        ((ConfigurationOutcome.Parsed) after).document().toJson(),
        equalTo(state.document().orElseThrow().toJson()));
  }

  @Test
  void longDifferenceIsNotKept() {
    commit(put(0, 3));
    commit(new OperatorRequest(Method.PUT, 3, body(5, "other")));
    assertThat(state.patchFrom(3).isPresent(), is(false));
  }

  /** Returns a configuration with 100 routes and one more, whose name has this number. */
  private static byte[] manyRoutes(long version, int number) {
    String one = new String(body(version, "changed" + number), StandardCharsets.UTF_8);
    StringBuilder others = new StringBuilder();
    for (int other = 0; other < 100; other++) {
      others.append(route("r" + other)).append(',');
    }
    return one.replace("\"routes\":[", "\"routes\":[" + others).getBytes(StandardCharsets.UTF_8);
  }

  @Test
  void uncommittedPreparedChangeDoesNotAffectState() {
    commit(put(0, 3));
    prepared(put(3, 5));
    commit(put(3, 6));
    assertThat(state.version(), is(6L));
  }

  private void commit(OperatorRequest request) {
    state.apply(prepared(request));
  }

  private byte[] prepared(OperatorRequest request) {
    PreparedCommand preparation = state.prepare(OperatorRequestCodec.encode(request));
    assertThat(preparation, is(instanceOf(PreparedCommand.Change.class)));
    return ((PreparedCommand.Change) preparation).record();
  }

  private OperatorResponse respond(OperatorRequest request) {
    return responseOf(state, request);
  }

  private static OperatorResponse responseOf(ConfigurationState state, OperatorRequest request) {
    PreparedCommand preparation = state.prepare(OperatorRequestCodec.encode(request));
    assertThat(preparation, is(instanceOf(PreparedCommand.Response.class)));
    return OperatorResponseCodec.decode(((PreparedCommand.Response) preparation).response());
  }

  private static OperatorRequest put(long base, long version) {
    return new OperatorRequest(Method.PUT, base, body(version, "r"));
  }

  private static OperatorRequest patch(long base, long version) {
    String json = "{\"version\":" + version + ",\"upsert\":{\"routes\":[" + route("added") + "]}}";
    return new OperatorRequest(Method.PATCH, base, json.getBytes(StandardCharsets.UTF_8));
  }

  private static byte[] body(long version, String routeName) {
    String json =
        "{\"version\":"
            + version
            + ",\"routes\":["
            + route(routeName)
            + "],\"services\":[{\"name\":\"s\",\"health_path\":\"/health\",\"max_conns\":9}]}";
    return json.getBytes(StandardCharsets.UTF_8);
  }

  private static String route(String name) {
    return "{\"name\":\""
        + name
        + "\",\"hostname\":\"h.example\",\"path_prefix\":\"/"
        + name
        + "/\",\"kind\":\"idempotent\",\"timeout_ms\":500,\"target_latency_ms\":100,"
        + "\"priority\":0,\"service\":\"s\",\"max_attempts\":1,\"public\":true}";
  }
}
