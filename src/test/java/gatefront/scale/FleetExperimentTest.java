package gatefront.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class FleetExperimentTest {
    private static String fault(String text) {
        String told = assertThrows(IllegalArgumentException.class, () -> FleetExperiment.of(text)).getMessage();
        assertEquals(1, told.lines().count(), told);
        return told;
    }

    @Test
    void aBadFileGetsAPlainMessageWithTheKeyAtFault() {
        assertTrue(fault("{\"name\":\"a\",\"event\":\"KILL\",\"hollow\":5,\"hollows\":1}").startsWith("hollows: "));
        assertTrue(fault("{\"name\":\"a\",\"event\":\"EARTHQUAKE\",\"hollow\":5}").startsWith("event: "));
        assertTrue(fault("{\"name\":\"a\",\"event\":\"KILL\",\"hollow\":\"many\"}").startsWith("hollow: "));
        assertEquals("zones: missing or out of range",
            fault("{\"name\":\"a\",\"event\":\"KILL\",\"hollow\":5,\"zones\":0}"));
        assertEquals("event: missing or out of range", fault("{\"name\":\"a\",\"hollow\":5}"));
        assertTrue(fault("{\"name\":").startsWith("not JSON: "));
    }

    @Test
    void theFilesThatComeWithItCanBeUsed() throws IOException {
        try (Stream<Path> files = Files.list(Path.of("src/scale/experiments"))) {
            List<String> names = files.filter(each -> each.toString().endsWith(".json")).map(FleetExperiment::read)
                .map(FleetExperiment::name).toList();
            assertEquals(names.size(), names.stream().distinct().count());
            assertTrue(names.size() >= 6, names.toString());
        }
    }

    @Test
    void ordinaryChangesNeverLeadBackToAnEarlierList() {
        FleetServers servers = new FleetServers(FleetServers.made(4, 2));
        List<Long> seen = Stream.iterate(1_000L, now -> now + 1).limit(24).map(now -> {
            servers.apply(List.of(servers.next(now)));
            return servers.fingerprint();
        }).toList();
        assertEquals(24, seen.stream().distinct().count());
    }
}
