import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** Reads HTTP/1.1 messages from a socket. */
final class Http {
    record Head(String line, Map<String, String> headers) {
        String header(String name) {
            return headers.get(name.toLowerCase());
        }
    }

    private Http() {}

    /** Returns the next head; null if the connection has ended before it. */
    static Head head(InputStream input) throws IOException {
        String line = line(input);
        if (line == null) return null;
        Map<String, String> headers = new LinkedHashMap<>();
        while (true) {
            String header = line(input);
            if (header == null) return null;
            if (header.isEmpty()) return new Head(line, headers);
            int colon = header.indexOf(':');
            headers.put(header.substring(0, colon).toLowerCase(), header.substring(colon + 1).trim());
        }
    }

    static String line(InputStream input) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        while (true) {
            int next = input.read();
            if (next < 0) return null;
            if (next == '\n') break;
            if (next != '\r') bytes.write(next);
        }
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads the next chunk; null if the connection has ended, empty if it was the last one. */
    static byte[] chunk(InputStream input) throws IOException {
        String size = line(input);
        if (size == null) return null;
        int length = Integer.parseInt(size.trim(), 16);
        byte[] bytes = input.readNBytes(length);
        String end = line(input);
        return bytes.length < length || end == null ? null : bytes;
    }
}
