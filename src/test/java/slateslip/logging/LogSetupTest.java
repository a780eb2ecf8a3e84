package slateslip.logging;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.matchesPattern;
import static org.hamcrest.Matchers.not;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import org.jboss.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class LogSetupTest {
  private final ByteArrayOutputStream written = new ByteArrayOutputStream();
  private Handler[] handlersBefore;
  private Level levelBefore;

  @BeforeEach
  void saveRootLogger() {
    java.util.logging.Logger root = LogManager.getLogManager().getLogger("");
    handlersBefore = root.getHandlers();
    levelBefore = root.getLevel();
  }

  @AfterEach
  void restoreRootLogger() {
    java.util.logging.Logger root = LogManager.getLogManager().getLogger("");
    for (Handler handler : root.getHandlers()) {
      root.removeHandler(handler);
    }
    for (Handler handler : handlersBefore) {
      root.addHandler(handler);
    }
    root.setLevel(levelBefore);
    LogContext.node("-");
    LogContext.epoch(0);
    LogContext.version(0);
  }

  private void install(String level) {
    PrintStream stream = new PrintStream(written, true, StandardCharsets.UTF_8);
    LogSetup.install("core-1", stream, LogSetup.level(level));
  }

  private String log() {
    return written.toString(StandardCharsets.UTF_8);
  }

  @Test
  void textWithControlCharactersStaysOnItsLine() {
    install("INFO");
    Logger.getLogger("a.Text").infof("tenant: %s", "a\u0085b\u2028c\u0001d\u000be \u017e");
    assertThat(log(), containsString("tenant: a\\u0085b\\u2028c\\u0001d\\u000be \u017e\""));
  }

  @Test
  void lineContainsLevelNodeEpochAndVersion() {
    install("INFO");
    LogContext.epoch(3);
    LogContext.version(17);
    Logger.getLogger(LogSetupTest.class).warn("say \"hello\"\nthere");
    assertThat(
        log(),
        matchesPattern(
            "time=\\d{4}-\\d\\d-\\d\\dT\\d\\d:\\d\\d[^ ]*Z level=WARN node=core-1 epoch=3 version=17 "
                + "logger=LogSetupTest msg=\"say \\\\\"hello\\\\\"\\\\nthere\"\n"));
  }

  @Test
  void recordsBelowTheConfiguredLevelAreNotWritten() {
    install("INFO");
    Logger logger = Logger.getLogger(LogSetupTest.class);
    logger.debug("hidden");
    assertThat(logger.isDebugEnabled(), equalTo(false));
    assertThat(log(), equalTo(""));
    install("DEBUG");
    logger.debug("shown");
    logger.trace("hidden");
    assertThat(log(), allOf(containsString("level=DEBUG"), not(containsString("hidden"))));
  }

  @Test
  void levelsAreWrittenWithTheirConventionalNames() {
    install("TRACE");
    Logger logger = Logger.getLogger(LogSetupTest.class);
    logger.error("e");
    logger.warn("w");
    logger.info("i");
    logger.debug("d");
    logger.trace("t");
    for (String level : new String[] {"ERROR", "WARN", "INFO", "DEBUG", "TRACE"}) {
      assertThat(log(), containsString(" level=" + level + " "));
    }
  }

  @Test
  void throwableIsWrittenOnTheSameLine() {
    install("INFO");
    Exception cause = new IllegalStateException("inner");
    Logger.getLogger(LogSetupTest.class)
        .error("failed", new IllegalArgumentException("outer", cause));
    assertThat(
        log(),
        allOf(
            containsString("error=\"java.lang.IllegalArgumentException: outer < "),
            containsString("caused by java.lang.IllegalStateException: inner < ")));
    assertThat(log().lines().count(), equalTo(1L));
  }

  @Test
  void librariesLogOnlyWarningsAndAbove() {
    install("INFO");
    java.util.logging.Logger library = java.util.logging.Logger.getLogger("io.javalin.Javalin");
    library.info("ordinary");
    library.log(new LogRecord(Level.WARNING, "unusual"));
    assertThat(log(), allOf(not(containsString("ordinary")), containsString("unusual")));
  }
}
