package slateslip.architecture;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.not;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.MatchResult;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Links and class names in the pages lead somewhere. */
final class DocumentationTest {
  private static final Pattern LINK = Pattern.compile("\\]\\(([^)#]+)(#[^)]*)?\\)");

  /** A type in backticks, of two words at least, and maybe a member of it. */
  private static final Pattern TYPE =
      Pattern.compile("`(?:[a-z.]+\\.)?([A-Z][a-z0-9]+[A-Z]\\w*)(?:\\.(\\w+))?(?:\\.\\w+)?`");

  private static final Pattern DECLARATION =
      Pattern.compile("\\b(?:class|record|interface|enum) ([A-Z]\\w*)");

  private static final Set<String> OF_LIBRARIES =
      Set.of("EventLoop", "JsonReader", "ProcessHandleImpl");

  /** Pages that describe the code as it is; others tell of the past as well. */
  private static final List<Path> PAGES =
      List.of(
          Path.of("docs/ARCHITECTURE.md"),
          Path.of("docs/GLOSSARY.md"),
          Path.of("docs/DESIGN.md"),
          Path.of("docs/CONTROL.md"));

  @Test
  void linksInPagesLeadToFiles() throws IOException {
    List<String> broken = new ArrayList<>();
    for (Path page : allPages()) {
      Matcher links = LINK.matcher(Files.readString(page));
      while (links.find()) {
        Path target = page.toAbsolutePath().getParent().resolve(links.group(1));
        if (!links.group(1).contains("://") && !Files.exists(target)) {
          broken.add(page + ": " + links.group(1));
        }
      }
    }
    assertThat(broken, empty());
  }

  @Test
  void typesInPagesExist() throws IOException {
    Map<String, String> sourceByType = sourceByType();
    assertThat(sourceByType.keySet(), not(empty()));
    List<String> unknown = new ArrayList<>();
    for (Path page : PAGES) {
      TYPE.matcher(Files.readString(page))
          .results()
          .filter(name -> !OF_LIBRARIES.contains(name.group(1)))
          .filter(name -> !isDeclared(name, sourceByType))
          .forEach(name -> unknown.add(page + ": " + name.group()));
    }
    assertThat(unknown, empty());
  }

  private static boolean isDeclared(MatchResult name, Map<String, String> sourceByType) {
    String source = sourceByType.get(name.group(1));
    String member = name.group(2);
    return source != null
        && (member == null || Pattern.compile("\\b" + member + "\\b").matcher(source).find());
  }

  private static List<Path> allPages() throws IOException {
    List<Path> pages = new ArrayList<>(List.of(Path.of("README.md"), Path.of("DEVELOPERS.md")));
    try (Stream<Path> files = Files.walk(Path.of("docs"))) {
      files.filter(file -> file.toString().endsWith(".md")).forEach(pages::add);
    }
    return pages;
  }

  /** For each type, nested ones included, the text of all files that declare one of its name. */
  private static Map<String, String> sourceByType() throws IOException {
    Map<String, String> sources = new HashMap<>();
    try (Stream<Path> files = Files.walk(Path.of("src"))) {
      for (Path file : files.filter(each -> each.toString().endsWith(".java")).toList()) {
        String text = Files.readString(file);
        Matcher declared = DECLARATION.matcher(text);
        while (declared.find()) {
          sources.merge(declared.group(1), text, String::concat);
        }
      }
    }
    return sources;
  }
}
