import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * All machines but one are lost. Some clients send one large request each, one after the other and within the configured limits, and go on with small requests on the
 * same connections; a request that gets no answer is sent again later. Then ordinary traffic comes. Rule CONFIG: of the requests that are
 * unanswered at their route's timeout, most must have an answer half a second later.
 */
public final class KeptUploads {
    private static final int MACHINES = 7;

    /** The site has 78 clients: 20 send a request of nearly max_body_bytes (4,194,304), 20 a smaller one and 38 only ordinary ones. */
    private static final int LARGE_CLIENTS = 20;
    private static final int LARGE_BODY_BYTES = 4_000_000;
    private static final int MEDIUM_CLIENTS = 20;
    private static final int MEDIUM_BODY_BYTES = 1_000_000;

    private static final int ORDINARY_CLIENTS = 38;

    /** The size of a plan-check below the largest of the site (110,000 bytes). */
    private static final int ORDINARY_BODY_BYTES = 100_000;
    private static final int WORK_MILLIS = 300;
    private static final int PIECE_BYTES = 100_000;

    /** A client fills the machine's link (1,000 Mbit/s) to two thirds. */
    private static final long PIECE_MICROS = 1_200;
    private static final int TIMEOUT_MILLIS = 600;

    /** The clients wait for longer than the operator wants them kept waiting. */
    private static final int DEADLINE_MILLIS = 1_500;
    private static final int SLACK_MILLIS = 500;

    /** From the end of the uploads, as long as a machine counts as slowed after clients have pressed (5 s) and then stable_window_ms. */
    private static final long JUDGED_AFTER_MILLIS = 8_000;
    private static final long JUDGED_MILLIS = 20_000;

    private static final String CONFIGURATION = "{\"version\":7,\"routes\":["
        + "{\"name\":\"r-1\",\"host\":\"desk.example\",\"path_prefix\":\"/plan/\",\"kind\":\"unsafe\",\"timeout_ms\":6000,"
        + "\"target_latency_ms\":800,\"priority\":1,\"service\":\"desk\",\"max_attempts\":1,\"anonymous\":true},"
        + "{\"name\":\"r-2\",\"host\":\"desk.example\",\"path_prefix\":\"/stamp/\",\"kind\":\"unsafe\",\"timeout_ms\":" + TIMEOUT_MILLIS + ","
        + "\"target_latency_ms\":121,\"priority\":2,\"service\":\"desk\",\"max_attempts\":1,\"anonymous\":true}],"
        + "\"services\":[{\"name\":\"desk\",\"health_path\":\"/health\",\"max_connections\":360,\"protocol\":\"h1\",\"tls\":false}],"
        + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
        + "\"tenants\":[]}";

    private final Fleet fleet;
    private final List<Fleet.Instance> machines;
    private final Map<String, Integer> ends = new TreeMap<>();
    private final Map<String, Integer> ordinaryEnds = new TreeMap<>();
    private volatile long judgedFrom = Long.MAX_VALUE;
    private int servedRequests;
    private int lateAnswers;
    private int missingAnswers;

    private KeptUploads(Fleet fleet, List<Fleet.Instance> machines) {
        this.fleet = fleet;
        this.machines = machines;
    }

    public static void main(String[] arguments) {
        Fleet.exitWith(() -> play(arguments[0]));
    }

    private static boolean play(String recordFile) throws Exception {
        boolean isTroubled = !"0".equals(System.getenv("TROUBLE"));
        try (Fleet fleet = new Fleet(recordFile); Store store = new Store(); PlainServer server = new PlainServer(fleet, "i-1", WORK_MILLIS)) {
            store.put("keyed.op", "config", CONFIGURATION);
            store.startHeartbeats("desk", "", Map.of("i-1", server.address()));
            // Each machine has 280 MB (memory_mb), which its /proc/meminfo reports; on this machine the JVM has to be told.
            for (int i = 1; i <= MACHINES; i++) fleet.start("front-a-" + i, store.address(), Map.of("JAVA_TOOL_OPTIONS", "-XX:MaxRAM=280m"));
            for (Fleet.Instance instance : fleet.instances) fleet.awaitReady(instance);
            Thread.sleep(4_000);
            List<Fleet.Instance> left = isTroubled ? fleet.instances.subList(0, 1) : fleet.instances;
            for (Fleet.Instance lost : fleet.instances) {
                if (!left.contains(lost)) fleet.signal(lost, "KILL");
            }
            Thread.sleep(3_000);
            Fleet.Instance instance = left.get(0);
            KeptUploads play = new KeptUploads(fleet, left);
            boolean isBroken = play.run();
            if (!instance.process.isAlive()) throw new IllegalStateException("the process ended by itself: " + fleet.errors(instance));
            fleet.signal(instance, "TERM");
            boolean hasEnded = instance.process.waitFor(8, TimeUnit.SECONDS);
            fleet.note("the process has %s 8 s (grace_s) after SIGTERM", hasEnded ? "ended" : "not ended");
            fleet.note("errors in its log: %s", fleet.errors(instance));
            return isBroken;
        }
    }

    private boolean run() throws Exception {
        List<Thread> threads = new ArrayList<>();
        long until = fleet.now() + 60_000;
        for (int i = 1; i <= LARGE_CLIENTS + MEDIUM_CLIENTS; i++) {
            int client = i;
            Socket kept = upload(client);
            Thread thread = new Thread(() -> sendSmall(client, kept != null ? kept : uploadAgain(client)));
            thread.setDaemon(true);
            threads.add(thread);
            thread.start();
            if (fleet.now() > until) break;
        }
        fleet.note("large requests: %s", ends);
        judgedFrom = fleet.now() + JUDGED_AFTER_MILLIS;
        for (int i = 1; i <= ORDINARY_CLIENTS; i++) {
            int client = i;
            Thread thread = new Thread(() -> sendOrdinary(LARGE_CLIENTS + MEDIUM_CLIENTS + client));
            thread.setDaemon(true);
            thread.start();
        }
        for (Thread thread : threads) thread.join(JUDGED_AFTER_MILLIS + JUDGED_MILLIS + 5_000);
        synchronized (this) {
            fleet.note("ordinary requests: %s", ordinaryEnds);
            fleet.note("small requests while judged: %d served, %d without an answer at their route's timeout, %d of them without one %d ms later",
                servedRequests, lateAnswers, missingAnswers, SLACK_MILLIS);
            if (servedRequests == 0 && lateAnswers == 0) throw new IllegalStateException("no small request was answered while judged");
            System.out.println(missingAnswers + " of the " + lateAnswers + " requests that were late had no answer half a second later");
            return missingAnswers * 2 > lateAnswers;
        }
    }

    private void sendOrdinary(int client) {
        Socket socket = null;
        byte[] body = new byte[ORDINARY_BODY_BYTES];
        for (int number = 1; fleet.now() < judgedFrom + JUDGED_MILLIS; number++) {
            String end;
            try {
                if (socket == null) socket = connect(client);
                socket.setSoTimeout(6_500);
                socket.getOutputStream().write(head("ordinary-" + client + "-" + number, "/plan/2", 6_000, body.length));
                socket.getOutputStream().write(body);
                end = answer(socket);
            } catch (SocketTimeoutException e) {
                end = "none";
            } catch (IOException e) {
                end = "closed";
            }
            synchronized (this) {
                ordinaryEnds.merge(end, 1, Integer::sum);
            }
            if (!end.startsWith("HTTP")) {
                close(socket);
                socket = null;
            }
            try {
                Thread.sleep(200);
            } catch (InterruptedException e) {
                return;
            }
        }
        close(socket);
    }

    /** Sends one large request and returns its connection if it stays open. */
    private Socket upload(int client) {
        String id = "plan-" + client;
        int bytes = client <= LARGE_CLIENTS ? LARGE_BODY_BYTES : MEDIUM_BODY_BYTES;
        String end;
        Socket socket = null;
        try {
            socket = connect(client);
            socket.setSoTimeout(6_500);
            OutputStream output = socket.getOutputStream();
            output.write(head(id, "/plan/1", 6_000, bytes));
            byte[] piece = new byte[PIECE_BYTES];
            for (int sent = 0; sent < bytes; sent += PIECE_BYTES) {
                output.write(piece);
                TimeUnit.MICROSECONDS.sleep(PIECE_MICROS);
            }
            end = answer(socket);
        } catch (SocketTimeoutException e) {
            end = "none";
        } catch (IOException | InterruptedException e) {
            end = "closed";
        }
        fleet.note("client's answer to %s: %s", id, end);
        synchronized (this) {
            ends.merge(end, 1, Integer::sum);
        }
        if (end.contains(" 200 ")) return socket;
        close(socket);
        return null;
    }

    /** Sends a large request that was not answered again, every two seconds, and returns the connection that it was answered on. */
    private Socket uploadAgain(int client) {
        while (fleet.now() < judgedFrom) {
            try {
                Thread.sleep(2_000);
            } catch (InterruptedException e) {
                return null;
            }
            Socket socket = upload(client);
            if (socket != null) return socket;
        }
        return null;
    }

    /** Sends small requests, on [kept] if there is one and else on new connections. */
    private void sendSmall(int client, Socket kept) {
        Socket socket = kept;
        for (int number = 1; fleet.now() < judgedFrom + JUDGED_MILLIS || judgedFrom == Long.MAX_VALUE; number++) {
            String id = "stamp-" + client + "-" + number;
            long sentAt = fleet.now();
            String end;
            try {
                if (socket == null) socket = connect(client);
                socket.setSoTimeout(TIMEOUT_MILLIS + SLACK_MILLIS);
                socket.getOutputStream().write(head(id, "/stamp/1", DEADLINE_MILLIS, 4));
                socket.getOutputStream().write("form".getBytes(StandardCharsets.US_ASCII));
                end = answer(socket);
            } catch (SocketTimeoutException e) {
                end = "none";
            } catch (IOException e) {
                end = "closed";
            }
            long took = fleet.now() - sentAt;
            if (sentAt >= judgedFrom) {
                synchronized (this) {
                    if (took >= TIMEOUT_MILLIS) lateAnswers++;
                    if (took >= TIMEOUT_MILLIS + SLACK_MILLIS) missingAnswers++;
                    if (end.contains(" 200 ")) servedRequests++;
                }
            }
            if (!end.contains(" 200 ") || took >= TIMEOUT_MILLIS) fleet.note("client's answer to %s: %s, after %d ms", id, end, took);
            if (!end.startsWith("HTTP")) {
                close(socket);
                socket = null;
            }
            try {
                Thread.sleep(1_000);
            } catch (InterruptedException e) {
                return;
            }
        }
        close(socket);
    }

    /** Connects [client] to its machine; clients spread evenly over those that are left. */
    private Socket connect(int client) throws IOException {
        Socket socket = new Socket("127.0.0.1", machines.get(client % machines.size()).front);
        socket.setTcpNoDelay(true);
        return socket;
    }

    private static String answer(Socket socket) throws IOException {
        InputStream input = new BufferedInputStream(socket.getInputStream());
        Http.Head head = Http.head(input);
        if (head == null) return "closed";
        String length = head.header("Content-Length");
        input.readNBytes(length == null ? 0 : Integer.parseInt(length));
        return head.line();
    }

    private static void close(Socket socket) {
        try {
            if (socket != null) socket.close();
        } catch (IOException e) {
            // It is closed already.
        }
    }

    private static byte[] head(String id, String path, int deadlineMillis, int length) {
        return ("POST " + path + " HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " + id + "\r\nDeadline-Ms: " + deadlineMillis
            + "\r\nContent-Length: " + length + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII);
    }
}
