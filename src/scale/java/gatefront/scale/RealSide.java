package gatefront.scale;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
final class RealSide implements AutoCloseable {
    static final String PREFIX = "127.3.";
    private final FleetExperiment plan;
    RealSide(Children children, FleetExperiment plan) { this.plan = plan; }
    List<ServerEntry> servers() { return FleetServers.made(plan.servers(), plan.zones()); }
    List<String> discoveryArguments() { return List.of("--listen", "127.0.0.1:47001"); }
    void start(InetSocketAddress discovery) throws IOException { }
    void changed(List<ServerEntry> changed) { }
    void interval(ObjectNode line) { }
    double cpuSeconds() { return 0; }
    long requests() { return 0; }
    long lost() { return 0; }
    long died() { return 0; }
    void totals(ObjectNode t) { }
    public void close() { }
}
