package slateslip.dataplane;

/** Entry point of the data plane binary. */
public final class DataPlaneMain {
  private DataPlaneMain() {}

  /** Starts the data plane. */
  public static void main(String[] arguments) {
    System.exit(0);
  }
}
