import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * A sound model server. All runs make one token a step and hold their own tokens in its memory, beside one shared part. When the memory
 * runs out, the newest of the least urgent runs is preempted; it is read in again as soon as it fits, and goes on.
 */
final class EngineServer implements AutoCloseable {
    private static final int MEMORY_TOKENS = 104_044;
    private static final int SHARED_TOKENS = 6_300;
    private static final double READ_TOKENS_PER_MILLI = 42.6;
    private static final long STEP_MILLIS = 50;

    private static final class Run {
        final String request;
        final OutputStream output;
        final int priority;
        final int prompt;
        final int last;
        int event;
        int made;
        boolean isInMemory;
        long readAt;

        Run(String request, OutputStream output, int priority, int prompt, int event, int last) {
            this.request = request;
            this.output = output;
            this.priority = priority;
            this.prompt = prompt;
            this.event = event;
            this.last = last;
        }

        int tokens() {
            return prompt + made;
        }
    }

    private final ServerSocket server = new ServerSocket(0, 100, InetAddress.getLoopbackAddress());
    private final Fleet fleet;
    private final String id;
    private final List<Run> runs = new ArrayList<>();
    private final int[] othersPrompts;
    private boolean hasOthers;
    private boolean hasPreempted;

    /** [othersPrompts] are the prompts of urgent runs, sent by other machines, that begin with the first run here. */
    EngineServer(Fleet fleet, String id, int[] othersPrompts, int othersTokens) throws IOException {
        this.fleet = fleet;
        this.id = id;
        this.othersPrompts = othersPrompts;
        daemon(() -> {
            while (true) {
                Socket socket = server.accept();
                daemon(() -> serve(socket));
            }
        });
        daemon(() -> {
            while (true) {
                Thread.sleep(STEP_MILLIS);
                step(othersTokens);
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

    /** Whether the memory ran out and a stream that a machine of the case passes on was preempted. */
    synchronized boolean hasPreempted() {
        return hasPreempted;
    }

    private void serve(Socket socket) throws Exception {
        socket.setTcpNoDelay(true);
        InputStream input = new BufferedInputStream(socket.getInputStream());
        while (true) {
            Http.Head head = Http.head(input);
            if (head == null) return;
            String length = head.header("Content-Length");
            input.readNBytes(length == null ? 0 : Integer.parseInt(length));
            String request = head.header("Request-Id");
            if (!id.equals(head.header("Expect-Instance"))) {
                send(socket.getOutputStream(), "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: " + request + "\r\nInstance-Id: " + id
                    + "\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            String[] counts = head.header("Token-Counts").split(",");
            String from = head.header("Last-Event-Id");
            int next = from == null ? 1 : Integer.parseInt(from) + 1;
            fleet.note("%s gets %s from event %d", id, request, next);
            synchronized (this) {
                runs.add(new Run(request, socket.getOutputStream(), 1, Integer.parseInt(counts[0]) - SHARED_TOKENS, next, Integer.parseInt(counts[1])));
            }
        }
    }

    private synchronized void step(int othersTokens) {
        if (!hasOthers && !runs.isEmpty()) {
            hasOthers = true;
            for (int i = 0; i < othersPrompts.length; i++) runs.add(i, new Run("other-" + i, null, 0, othersPrompts[i], 1, othersTokens));
        }
        for (Run run : runs) {
            if (run.isInMemory || used() + run.tokens() > MEMORY_TOKENS) continue;
            run.isInMemory = true;
            run.readAt = fleet.now() + (long) (run.tokens() / READ_TOKENS_PER_MILLI);
        }
        for (Run run : new ArrayList<>(runs)) {
            if (run.isInMemory && run.readAt <= fleet.now() && hasRoomFor(run)) make(run);
        }
    }

    private int used() {
        return SHARED_TOKENS + runs.stream().filter(run -> run.isInMemory).mapToInt(Run::tokens).sum();
    }

    private boolean hasRoomFor(Run run) {
        while (used() >= MEMORY_TOKENS) {
            Run yielding = runs.stream().filter(other -> other.isInMemory)
                .max(Comparator.<Run>comparingInt(other -> other.priority).thenComparingInt(runs::indexOf)).orElseThrow();
            yielding.isInMemory = false;
            if (yielding.output != null) hasPreempted = true;
            fleet.note("%s preempts %s after event %d", id, yielding.request, yielding.event - 1);
            if (yielding == run) return false;
        }
        return true;
    }

    private void make(Run run) {
        run.made++;
        try {
            if (run.output != null) {
                if (run.made == 1) {
                    send(run.output, "HTTP/1.1 200 OK\r\nRequest-Id: " + run.request + "\r\nServer-Stamp: stamp-" + run.request
                        + "\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
                }
                String text = "id: " + run.event + "\ndata: token " + run.event + "\n\n";
                send(run.output, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
                if (run.event == run.last) send(run.output, "0\r\n\r\n");
            }
            if (run.event++ < run.last) return;
            if (run.output != null) fleet.note("%s ends %s: all events made", id, run.request);
        } catch (IOException e) {
            fleet.note("%s ends %s: the instance has reset the connection", id, run.request);
        }
        runs.remove(run);
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
