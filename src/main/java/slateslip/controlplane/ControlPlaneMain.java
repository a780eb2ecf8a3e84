package slateslip.controlplane;

/** Entry point of the control plane binary. */
public final class ControlPlaneMain {
  private ControlPlaneMain() {}

  /** Starts the control plane. */
  public static void main(String[] arguments) {
    System.exit(0);
  }
}
