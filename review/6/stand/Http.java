package second;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** HTTP/1.1 messages for the stand-ins: a server with a thread for each connection, and the reading of requests and responses. */
final class Http {
    private Http() {}

    /** A request; header names are in lower case. */
    record Request(String method, String target, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        String path() {
            return target.split("\\?", 2)[0];
        }

        /** The decoded parameter of the query; null if there is none. */
        String parameter(String name) {
            String[] parts = target.split("\\?", 2);
            if (parts.length < 2) return null;
            for (String pair : parts[1].split("&")) {
                String[] sides = pair.split("=", 2);
                if (sides[0].equals(name)) return java.net.URLDecoder.decode(sides.length > 1 ? sides[1] : "", StandardCharsets.UTF_8);
            }
            return null;
        }
    }

    /** A response; {@code whole} is false if the connection ended before its end. */
    record Response(int status, Map<String, String> headers, byte[] body, boolean whole) {
        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }
    }

    /** The server's end of a connection. */
    static final class Connection {
        final Socket socket;
        private final OutputStream output;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
            this.output = socket.getOutputStream();
        }

        void send(String text) throws IOException {
            output.write(text.getBytes(StandardCharsets.ISO_8859_1));
            output.flush();
        }

        void respond(String status, Map<String, String> headers, byte[] body) throws IOException {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            StringBuilder head = new StringBuilder("HTTP/1.1 " + status + "\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
            bytes.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            bytes.write(body);
            output.write(bytes.toByteArray());
            output.flush();
        }

        /** Ends the connection as the system does for a process that is gone: with a reset. */
        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    interface Handler {
        void handle(Request request, Connection connection) throws Exception;
    }

    /** Serves requests until it is closed. */
    static final class Server implements AutoCloseable {
        private final ServerSocket listening;
        private final Set<Connection> connections = ConcurrentHashMap.newKeySet();
        final InetSocketAddress address;

        Server(String ip, int port, Handler handler) throws IOException {
            listening = new ServerSocket();
            listening.setReuseAddress(true);
            listening.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 200);
            address = new InetSocketAddress(ip, listening.getLocalPort());
            thread(() -> {
                while (true) {
                    Connection connection = new Connection(listening.accept());
                    connections.add(connection);
                    thread(() -> serve(connection, handler));
                }
            });
        }

        private void serve(Connection connection, Handler handler) throws Exception {
            try (Socket socket = connection.socket) {
                InputStream input = new BufferedInputStream(socket.getInputStream());
                while (true) {
                    Request request = readRequest(input);
                    if (request == null) return;
                    handler.handle(request, connection);
                }
            } finally {
                connections.remove(connection);
            }
        }

        String hostAndPort() {
            return address.getHostString() + ":" + address.getPort();
        }

        /** Resets all connections and takes no new ones, as a process does that ends. */
        void crash() throws IOException {
            listening.close();
            for (Connection connection : connections) {
                try {
                    connection.reset();
                } catch (IOException ended) {
                    // The connection has ended already.
                }
            }
        }

        @Override
        public void close() throws IOException {
            crash();
        }
    }

    interface Action {
        void run() throws Exception;
    }

    /** Runs an action on a thread that does not keep the process alive; the end of its connection ends it. */
    static Thread thread(Action action) {
        Thread thread = new Thread(() -> {
            try {
                action.run();
            } catch (IOException | InterruptedException ended) {
                // The other side has closed the connection, or the stand-in is being closed.
            } catch (Exception failure) {
                failure.printStackTrace();
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static Request readRequest(InputStream input) throws IOException {
        String line = readLine(input);
        if (line == null || line.isEmpty()) return null;
        String[] words = line.split(" ");
        Map<String, String> headers = readHeaders(input);
        return new Request(words[0], words[1], headers, readBody(input, headers, 0).bytes());
    }

    static Response readResponse(InputStream input) throws IOException {
        String line = readLine(input);
        if (line == null) return null;
        Map<String, String> headers = readHeaders(input);
        Body body = readBody(input, headers, 0);
        return new Response(Integer.parseInt(line.split(" ")[1]), headers, body.bytes(), body.whole());
    }

    private record Body(byte[] bytes, boolean whole) {}

    private static Body readBody(InputStream input, Map<String, String> headers, int otherwise) throws IOException {
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) return readChunks(input);
        int length = Integer.parseInt(headers.getOrDefault("content-length", "" + otherwise));
        byte[] bytes = input.readNBytes(length);
        return new Body(bytes, bytes.length == length);
    }

    private static Body readChunks(InputStream input) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        while (true) {
            String line;
            try {
                line = readLine(input);
            } catch (IOException reset) {
                line = null;
            }
            if (line == null) return new Body(bytes.toByteArray(), false);
            int length = Integer.parseInt(line.split(";")[0].trim(), 16);
            bytes.write(input.readNBytes(length));
            readLine(input);
            if (length == 0) return new Body(bytes.toByteArray(), true);
        }
    }

    private static Map<String, String> readHeaders(InputStream input) throws IOException {
        Map<String, String> headers = new LinkedHashMap<>();
        while (true) {
            String line = readLine(input);
            if (line == null) throw new IOException("the connection ended within a head");
            if (line.isEmpty()) return headers;
            String[] sides = line.split(":", 2);
            headers.put(sides[0].toLowerCase(Locale.ROOT), sides[1].trim());
        }
    }

    private static String readLine(InputStream input) throws IOException {
        StringBuilder line = new StringBuilder();
        while (true) {
            int next = input.read();
            if (next < 0) return null;
            if (next == '\n') return line.toString().stripTrailing();
            line.append((char) next);
        }
    }
}
