package slateslip.simulation.dataplane;

import java.util.List;
import slateslip.configuration.RouteKind;
import slateslip.simulation.dataplane.RequestClass.SharedPart;
import slateslip.simulation.dataplane.RequestClass.Size;

/** The request classes of the small random plans; they cover each kind of route. */
final class SmallRequestClasses {
  private SmallRequestClasses() {}

  /** Returns all classes; {@code engines} and {@code ledger} name the services that serve them. */
  static List<RequestClass> of(String engines, String ledger) {
    return List.of(diagnosis(engines), report(engines), entry(ledger), lookup(ledger));
  }

  private static RequestClass diagnosis(String engines) {
    return new RequestClass(
        "diagnosis",
        engines,
        RouteKind.STREAMING,
        true,
        600,
        400,
        4_000,
        4_000,
        0,
        2,
        1,
        2,
        3,
        0.3,
        List.of(new SharedPart(new Size(1_500, 0.7, 5_000), 12, 0.3)),
        new Size(400, 1, 4_000),
        new Size(8, 1, 30),
        Size.NONE,
        0);
  }

  private static RequestClass report(String engines) {
    return new RequestClass(
        "report",
        engines,
        RouteKind.STREAMING,
        false,
        1_000,
        400,
        5_000,
        3_000,
        1,
        1,
        1,
        1,
        2,
        0.2,
        List.of(new SharedPart(new Size(300, 0.4, 600), 4, 0)),
        new Size(300, 1, 3_000),
        new Size(6, 1, 20),
        Size.NONE,
        0);
  }

  private static RequestClass entry(String ledger) {
    return new RequestClass(
        "entry",
        ledger,
        RouteKind.NON_IDEMPOTENT,
        false,
        150,
        0,
        1_000,
        1_000,
        2,
        2,
        1,
        2,
        1,
        0.1,
        List.of(),
        Size.NONE,
        Size.NONE,
        new Size(30, 0.5, 220),
        0.01);
  }

  private static RequestClass lookup(String ledger) {
    return new RequestClass(
        "lookup",
        ledger,
        RouteKind.IDEMPOTENT,
        false,
        150,
        0,
        1_000,
        1_000,
        2,
        3,
        1,
        1,
        1,
        0.1,
        List.of(),
        Size.NONE,
        Size.NONE,
        new Size(20, 0.5, 200),
        0.01);
  }
}
