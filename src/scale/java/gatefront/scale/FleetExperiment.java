package gatefront.scale;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.ObjectReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Collectors;

/**
 * An experiment on a fleet, as read from its JSON file. What a file leaves out has the value named here.
 *
 * @param name for the output
 * @param scale which part of the real thing it stands for, in words, for the output
 * @param event what happens
 * @param hollow how many hollow agents; 0
 * @param real how many real agents; 0
 * @param servers how many entries discovery lists; 160, ten called services of 16
 * @param zones over how many zones they are spread; 23
 * @param asked whether agents decide when to ask discovery; no, they follow it of themselves
 * @param perSecond requests of a hollow agent a second; 1
 * @param realPerSecond requests of a real agent a second; 49, the target's mean
 * @param answerMicros median time of a server's answer; 3,000
 * @param answerSigma spread of its logarithm; 0.5
 * @param spreadMs over what time hollow agents start; 5,000
 * @param beforeSeconds from when all have the list until the event; 5
 * @param eventSeconds how long the event lasts; 10
 * @param afterSeconds what follows it; 10
 * @param changeMs between two changes of single entries, 0 for none; 1,000
 * @param settings how many versions of the settings the burst has; 100
 * @param seed for everything random; 1
 */
record FleetExperiment(String name, String scale, Event event, int hollow, int real, Integer servers, Integer zones,
                       boolean asked, Double perSecond, Double realPerSecond, Long answerMicros, Double answerSigma,
                       Long spreadMs, Integer beforeSeconds, Integer eventSeconds, Integer afterSeconds,
                       Long changeMs, Integer settings, long seed) {
    /** What happens in the middle of an experiment. */
    enum Event {
        /** Nothing but changes of single entries. */
        STEADY,
        /** A zone's servers are gone with one change, and come back as just started with another. */
        ZONE,
        /** A burst of versions of the settings. */
        SETTINGS,
        /** Discovery resets all connections and refuses new ones, and comes back. */
        DOWN,
        /** Discovery is silent, then resets all connections and answers again. */
        SILENT,
        /** Discovery's process is killed, and another goes on with the same list. */
        KILL
    }

    private static final int AGENTS_MOST = 8_000;
    private static final int REAL_MOST = 40;
    private static final int SERVERS_MOST = 20_000;
    private static final int ZONES_MOST = 99;
    private static final int SECONDS_MOST = 600;
    private static final ObjectReader READER = Json.MAPPER.readerFor(FleetExperiment.class)
        .with(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

    FleetExperiment {
        need(name != null, "name");
        need(event != null, "event");
        servers = or(servers, 160);
        zones = or(zones, 23);
        perSecond = or(perSecond, 1.0);
        realPerSecond = or(realPerSecond, 49.0);
        answerMicros = or(answerMicros, 3_000L);
        answerSigma = or(answerSigma, 0.5);
        spreadMs = or(spreadMs, 5_000L);
        beforeSeconds = or(beforeSeconds, 5);
        eventSeconds = or(eventSeconds, 10);
        afterSeconds = or(afterSeconds, 10);
        changeMs = or(changeMs, 1_000L);
        settings = or(settings, 100);
        scale = or(scale, "");
        need(hollow >= 0 && hollow <= AGENTS_MOST, "hollow");
        need(real >= 0 && real <= REAL_MOST, "real");
        need(hollow + real > 0, "hollow");
        need(zones >= 1 && zones <= ZONES_MOST, "zones");
        need(servers >= zones && servers <= SERVERS_MOST, "servers");
        need(perSecond >= 0, "perSecond");
        need(realPerSecond >= 0, "realPerSecond");
        need(answerMicros >= 1, "answerMicros");
        need(answerSigma >= 0, "answerSigma");
        need(spreadMs >= 0, "spreadMs");
        need(beforeSeconds >= 0 && beforeSeconds <= SECONDS_MOST, "beforeSeconds");
        need(eventSeconds >= 0 && eventSeconds <= SECONDS_MOST, "eventSeconds");
        need(afterSeconds >= 0 && afterSeconds <= SECONDS_MOST, "afterSeconds");
        need(changeMs == 0 || changeMs >= 50, "changeMs");
        need(settings >= 1 && settings <= 1_000, "settings");
    }

    /** How many agents there are. */
    int agents() {
        return hollow + real;
    }

    /**
     * Reads a file.
     *
     * @throws IllegalArgumentException if it cannot be used; the message is one plain line with the key at fault
     */
    static FleetExperiment read(Path file) {
        try {
            return of(Files.readString(file));
        } catch (IOException e) {
            throw new IllegalArgumentException(file + " cannot be read: " + e.getMessage(), e);
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(file + ": " + e.getMessage(), e);
        }
    }

    /** Reads its text. */
    static FleetExperiment of(String text) {
        try {
            return READER.readValue(text);
        } catch (JsonMappingException e) {
            if (e.getCause() instanceof IllegalArgumentException) {
                throw new IllegalArgumentException(e.getCause().getMessage(), e);
            }
            String key = e.getPath().stream().map(JsonMappingException.Reference::getFieldName)
                .collect(Collectors.joining("."));
            throw new IllegalArgumentException(key + ": " + firstLine(e), e);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("not JSON: " + firstLine(e), e);
        }
    }

    private static String firstLine(JsonProcessingException e) {
        return String.valueOf(e.getOriginalMessage()).lines().findFirst().orElse("");
    }

    private static <T> T or(T value, T otherwise) {
        return value == null ? otherwise : value;
    }

    private static void need(boolean usable, String key) {
        if (!usable) {
            throw new IllegalArgumentException(key + ": missing or out of range");
        }
    }
}
