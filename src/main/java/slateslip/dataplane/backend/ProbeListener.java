package slateslip.dataplane.backend;

import java.util.function.Consumer;
import slateslip.configuration.HeaderText;
import slateslip.dataplane.HeaderNames;
import slateslip.dataplane.stream.StreamEvent;
import slateslip.routing.RouterInput.BackendLoad;
import slateslip.routing.RouterInput.ProbeOutcome;

/** Converts the result of a health probe's attempt into the result of the probe. */
final class ProbeListener implements AttemptListener {
  private final String backendId;
  private final Consumer<ProbeResult> onResult;

  ProbeListener(String backendId, Consumer<ProbeResult> onResult) {
    this.backendId = backendId;
    this.onResult = onResult;
  }

  @Override
  public void streamStarted(BackendResponse head, BackendLoad load) {}

  @Override
  public void eventReceived(StreamEvent event) {}

  @Override
  public void streamIdle() {}

  @Override
  public void readComplete() {}

  @Override
  public void ended(AttemptResult result) {
    onResult.accept(new ProbeResult(outcome(result), result.load()));
  }

  private ProbeOutcome outcome(AttemptResult result) {
    BackendResponse response = result.response();
    if (response != null) {
      String instance = response.headers().get(HeaderNames.INSTANCE_ID);
      if (instance != null && !HeaderText.decode(instance).equals(backendId)) {
        return ProbeOutcome.OTHER_INSTANCE;
      }
    }
    return switch (result.outcome().kind()) {
      case SUCCESS -> ProbeOutcome.HEALTHY;
      case ERROR_RESPONSE -> ProbeOutcome.UNHEALTHY;
      case NOT_EXECUTED -> ProbeOutcome.FULL;
      case OTHER_INSTANCE -> ProbeOutcome.OTHER_INSTANCE;
      case TIMEOUT, CANCELLED, WITHHELD -> ProbeOutcome.TIMEOUT;
      case NOT_SENT, BROKEN -> ProbeOutcome.UNREACHABLE;
    };
  }
}
