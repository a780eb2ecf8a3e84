package slateslip.loadbalancer.scale;

/** Something that is played and reported; its file has been read and found good. */
public interface Experiment {
  /** How long it may take in all, in seconds; what takes longer is ended. */
  int limitSeconds();

  /**
   * Plays it. What it starts through the children is ended when it returns or throws.
   *
   * @throws Exception if it could not be played to its end
   */
  void play(Report report, Children children) throws Exception;
}
