import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * A sound model server: it answers each request with a stream of events. With a pause, each run that starts
 * with the first event is preempted once, after some events, and goes on by itself; a resumed run is not.
 */
final class StreamServer implements AutoCloseable {
    private final ServerSocket server = new ServerSocket(0, 100, InetAddress.getLoopbackAddress());
    private final Fleet fleet;
    private final String id;
    private final int events;
    private final long gapMillis;
    private final int eventsBeforePause;
    private final long pauseMillis;

    StreamServer(Fleet fleet, String id, int events, long gapMillis, int eventsBeforePause, long pauseMillis) throws IOException {
        this.fleet = fleet;
        this.id = id;
        this.events = events;
        this.gapMillis = gapMillis;
        this.eventsBeforePause = eventsBeforePause;
        this.pauseMillis = pauseMillis;
        daemon(() -> {
            while (true) {
                Socket socket = server.accept();
                daemon(() -> serve(socket));
            }
        });
    }

    private interface Task {
        void run() throws Exception;
    }

    private static void daemon(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                // The connection or the case has ended.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    private void serve(Socket socket) throws Exception {
        socket.setTcpNoDelay(true);
        InputStream input = new BufferedInputStream(socket.getInputStream());
        OutputStream output = socket.getOutputStream();
        while (true) {
            Http.Head head = Http.head(input);
            if (head == null) return;
            String length = head.header("Content-Length");
            input.readNBytes(length == null ? 0 : Integer.parseInt(length));
            String request = head.header("Request-Id");
            if (!id.equals(head.header("Expect-Instance"))) {
                send(output, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: " + request + "\r\nInstance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            String from = head.header("Last-Event-Id");
            int next = from == null ? 1 : Integer.parseInt(from) + 1;
            fleet.note("%s runs %s from event %d", id, request, next);
            try {
                stream(output, request, next);
                fleet.note("%s ends %s: all events made", id, request);
            } catch (IOException e) {
                fleet.note("%s ends %s: the instance reset the connection", id, request);
                return;
            }
        }
    }

    private void stream(OutputStream output, String request, int next) throws Exception {
        Thread.sleep(gapMillis);
        send(output, "HTTP/1.1 200 OK\r\nRequest-Id: " + request + "\r\nServer-Stamp: stamp-" + request + "\r\nWeight-Versions: 1\r\n"
            + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        int made = 0;
        for (int event = next; event <= events; event++) {
            if (made == eventsBeforePause && next == 1 && pauseMillis > 0) {
                fleet.note("%s preempts %s after event %d, for %d ms", id, request, event - 1, pauseMillis);
                Thread.sleep(pauseMillis);
            }
            String text = "id: " + event + "\ndata: token " + event + "\n\n";
            send(output, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
            made++;
            Thread.sleep(gapMillis);
        }
        send(output, "0\r\n\r\n");
    }

    private static void send(OutputStream output, String text) throws IOException {
        output.write(text.getBytes(StandardCharsets.US_ASCII));
        output.flush();
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
