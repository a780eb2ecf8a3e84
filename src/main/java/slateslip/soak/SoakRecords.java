package slateslip.soak;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Records the requests, configuration changes, configuration reads and process incarnations of a
 * soak test. Thread-safe.
 */
final class SoakRecords {
  private final List<RequestRecord> requests = Collections.synchronizedList(new ArrayList<>());
  private final List<ConfigurationRecord> configurations =
      Collections.synchronizedList(new ArrayList<>());
  private final Map<String, ProcessIncarnation> incarnations =
      Collections.synchronizedMap(new LinkedHashMap<>());

  void addRequest(RequestRecord request) {
    requests.add(request);
  }

  void addConfiguration(ConfigurationRecord configuration) {
    configurations.add(configuration);
  }

  void addIncarnation(ProcessIncarnation incarnation) {
    incarnations.put(incarnation.name(), incarnation);
  }

  List<RequestRecord> requests() {
    synchronized (requests) {
      return List.copyOf(requests);
    }
  }

  List<ConfigurationRecord> configurations() {
    synchronized (configurations) {
      return List.copyOf(configurations);
    }
  }

  Map<String, ProcessIncarnation> incarnations() {
    synchronized (incarnations) {
      return new LinkedHashMap<>(incarnations);
    }
  }
}
