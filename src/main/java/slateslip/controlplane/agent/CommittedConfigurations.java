package slateslip.controlplane.agent;

import java.util.Optional;
import slateslip.controlplane.state.ConfigurationState;
import slateslip.distribution.delivery.ConfigurationSource;

/** Provides the committed configurations for delivery to data planes. */
final class CommittedConfigurations implements ConfigurationSource {
  private final ConfigurationState state;

  CommittedConfigurations(ConfigurationState state) {
    this.state = state;
  }

  @Override
  public long version() {
    return state.version();
  }

  @Override
  public byte[] document() {
    return state.document().orElseThrow().toJson();
  }

  @Override
  public Optional<Patch> patchFrom(long version) {
    return state.patchFrom(version);
  }
}
