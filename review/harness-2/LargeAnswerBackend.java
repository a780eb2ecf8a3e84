import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** A sound backend whose answers below one path are large and made of one letter each. */
final class LargeAnswerBackend extends Backend {
  private static final int LETTERS = 26;

  private final String largePath;
  private final int bytes;

  LargeAnswerBackend(
      Record record, String ip, String zone, String largePath, int bytes) throws IOException {
    super(record, Configurations.SERVICE, ip, zone, 64);
    this.largePath = largePath;
    this.bytes = bytes;
  }

  /** Returns the letter of the answer to a request. */
  static byte letter(String id) {
    return (byte) ('a' + Math.floorMod(id.hashCode(), LETTERS));
  }

  @Override
  boolean answer(Request request, Socket socket, OutputStream out)
      throws IOException, InterruptedException {
    if (!request.target().startsWith(largePath)) {
      return super.answer(request, socket, out);
    }
    ran(request);
    byte[] body = new byte[bytes];
    Arrays.fill(body, letter(request.id()));
    String head =
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: "
            + request.id()
            + "\r\nX-Response-Stamp: "
            + id
            + "."
            + request.id()
            + "\r\nContent-Length: "
            + body.length
            + "\r\n\r\n";
    out.write(head.getBytes(StandardCharsets.UTF_8));
    out.write(body);
    out.flush();
    return true;
  }
}
