package slateslip.configuration;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class RoutingTableTest {
  private static RoutingTable table(String... hostsAndPrefixes) {
    List<Route> routes = new ArrayList<>();
    for (int i = 0; i < hostsAndPrefixes.length; i += 2) {
      routes.add(
          new Route(
              "r" + i / 2,
              hostsAndPrefixes[i],
              hostsAndPrefixes[i + 1],
              RouteKind.IDEMPOTENT,
              1_000,
              100,
              0,
              List.of(new Route.WeightedService("svc", 1)),
              1,
              true,
              false,
              false,
              0));
    }
    Service service = new Service("svc", "/health", 0, null);
    return new RoutingTable(
        new FleetConfiguration(1, routes, List.of(service), IngressLimits.DEFAULT, List.of()));
  }

  private static String route(RoutingTable table, String host, String path) {
    return table.route(host, path).map(Route::name).orElse("none");
  }

  @Test
  void longestMatchingPrefixWins() {
    RoutingTable table = table("h", "/", "h", "/a/", "h", "/a/b/", "other", "/a/b/c/");
    assertThat(route(table, "h", "/a/b/c/d"), is("r2"));
    assertThat(route(table, "h", "/a/x"), is("r1"));
    assertThat(route(table, "h", "/b"), is("r0"));
    assertThat(route(table, "unknown", "/a/b"), is("none"));
  }

  @Test
  void pathsMatchInRawAndPercentEncodedForm() {
    RoutingTable table = table("h", "/\u017eiadosti/", "h", "/%C4%8Das/");
    for (String path : List.of("/\u017eiadosti/1", "/%C5%BEiadosti/1", "/%c5%beiadosti/1")) {
      assertThat(path, route(table, "h", path), is("r0"));
    }
    for (String path : List.of("/\u010das/1", "/%C4%8Das/1", "/%c4%8das/1")) {
      assertThat(path, route(table, "h", path), is("r1"));
    }
    assertThat(route(table, "h", "/ziadosti/1"), is("none"));
  }

  @Test
  void exactSpellingOfThePathTakesPrecedence() {
    RoutingTable table = table("h", "/\u017e/", "h", "/%C5%BE/");
    assertThat(route(table, "h", "/\u017e/1"), is("r0"));
    assertThat(route(table, "h", "/%C5%BE/1"), is("r1"));
    assertThat(route(table, "h", "/%c5%be/1"), is("r0"));
  }

  @Test
  void hostsMatchRegardlessOfCasePortAndPunycode() {
    RoutingTable table = table("\u017eilina.example", "/a/", "Fleet.example", "/a/");
    for (String host :
        List.of("\u017eilina.example", "\u017dILINA.example", "xn--ilina-tib.example:8080")) {
      assertThat(host, route(table, host, "/a/x"), is("r0"));
    }
    for (String host : List.of("Fleet.example", "fleet.example", "FLEET.EXAMPLE:80")) {
      assertThat(host, route(table, host, "/a/x"), is("r1"));
    }
    assertThat(route(table, "fleet.example:80a", "/a/x"), is("none"));
  }

  @Test
  void exactSpellingOfTheHostTakesPrecedence() {
    RoutingTable table = table("a.example", "/a/", "A.example", "/a/");
    assertThat(route(table, "a.example", "/a/x"), is("r0"));
    assertThat(route(table, "A.example", "/a/x"), is("r1"));
  }
}
