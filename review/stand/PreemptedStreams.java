import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A machine gets SIGTERM while it passes on resumable streams. The memory of their server runs out, and some of their runs are preempted.
 * Rule LOST: around a SIGTERM, no connection may end without a complete answer while the servers are at work, and a server's silence is no
 * reason to end one.
 */
public final class PreemptedStreams {
    private static final int REQUESTS = 30;
    private static final int EVENTS = 52;

    /** The own part of each prompt, beside the shared one of 6,300 tokens. */
    private static final int OWN_TOKENS = 60;

    /** The runs of other machines: 29 of the other kind of request of the site, whose largest have 3,310 tokens in and 203 out. */
    private static final int OTHERS = 29;
    private static final int OTHERS_TOKENS = 203;
    private static final long DEADLINE_MILLIS = 6_000;

    /** The last sixth of grace_s (8 s) begins then; what is still at work later is excused. */
    private static final long EXCUSED_AFTER_MILLIS = 6_666;

    private static final String CONFIGURATION = "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"llm.example\",\"path_prefix\":\"/plan/\","
        + "\"kind\":\"streaming\",\"timeout_ms\":6000,\"target_latency_ms\":800,\"priority\":1,\"service\":\"llm\",\"max_attempts\":2,"
        + "\"anonymous\":false,\"sticky\":true,\"resumable\":true,\"gap_aim_ms\":500}],\"services\":[{\"name\":\"llm\",\"health_path\":\"/health\","
        + "\"max_connections\":360,\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":64,\"kv_capacity_tokens\":104044,"
        + "\"kv_token_bytes\":327680,\"models\":[{\"name\":\"m-1\"}]}}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
        + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"tenant-1\",\"api_keys\":[\"key-1\"],\"priority\":1,"
        + "\"unit\":\"token_count\",\"plain_tokens\":200,\"isolated\":false,\"rate_per_s\":88324,\"burst\":88324}]}";

    public static void main(String[] arguments) {
        Fleet.exitWith(() -> play(arguments[0]));
    }

    private static boolean play(String recordFile) throws Exception {
        boolean isTroubled = !"0".equals(System.getenv("TROUBLE"));
        int broken;
        try (Fleet fleet = new Fleet(recordFile); Store store = new Store();
            EngineServer first = server(fleet, "i-1", isTroubled); EngineServer second = server(fleet, "i-2", isTroubled)) {
            store.put("keyed.op", "config", CONFIGURATION);
            store.startHeartbeats("llm", "[{\"name\":\"m-1\",\"version\":1,\"adapters\":[]}]", Map.of("i-1", first.address(), "i-2", second.address()));
            Fleet.Instance stopped = fleet.start("front-a-1", store.address(), Map.of());
            Fleet.Instance other = fleet.start("front-a-2", store.address(), Map.of());
            fleet.awaitReady(stopped);
            fleet.awaitReady(other);
            Thread.sleep(5_000);
            broken = run(fleet, stopped);
            if (broken == 0 && isTroubled && !first.hasPreempted() && !second.hasPreempted()) throw new IllegalStateException("no stream was preempted");
        }
        System.out.println(broken + " of " + REQUESTS + " answers were ended against the rule");
        return broken > 0;
    }

    private static EngineServer server(Fleet fleet, String id, boolean isTroubled) throws IOException {
        int[] prompts = new int[isTroubled ? OTHERS : 0];
        Arrays.fill(prompts, 3_310);
        if (isTroubled) prompts[0] = 3_250;
        return new EngineServer(fleet, id, prompts, OTHERS_TOKENS);
    }

    private static int run(Fleet fleet, Fleet.Instance instance) throws Exception {
        AtomicInteger broken = new AtomicInteger();
        AtomicInteger whole = new AtomicInteger();
        long[] stoppedAt = {Long.MAX_VALUE};
        List<Thread> clients = new ArrayList<>();
        for (int i = 1; i <= REQUESTS; i++) {
            String id = "request-" + i;
            Thread client = new Thread(() -> {
                long sentAt = fleet.now();
                int events = 0;
                String end;
                try (Socket socket = new Socket("127.0.0.1", instance.front)) {
                    socket.setSoTimeout((int) DEADLINE_MILLIS + 2_000);
                    String body = "a plan";
                    socket.getOutputStream().write(("POST /plan/1 HTTP/1.1\r\nHost: llm.example\r\nRequest-Id: " + id + "\r\nModel: m-1\r\n"
                        + "Token-Counts: " + (6_300 + OWN_TOKENS) + "," + EVENTS + "\r\nPrompt-Prefix: 5c1e07a2:2520,91bd3f06:3780,"
                        + Integer.toHexString(id.hashCode()) + ":" + OWN_TOKENS + "\r\n"
                        + "Deadline-Ms: " + DEADLINE_MILLIS + "\r\nCredential: key-1\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                        .getBytes(StandardCharsets.US_ASCII));
                    fleet.note("client sends %s", id);
                    InputStream input = new BufferedInputStream(socket.getInputStream());
                    Http.Head head = Http.head(input);
                    if (head == null) {
                        end = "closed without an answer";
                    } else if (!head.line().contains(" 200 ")) {
                        end = "complete";
                        fleet.note("client gets for %s: %s", id, head.line());
                    } else {
                        end = "closed in the middle of the answer";
                        for (byte[] chunk = Http.chunk(input); chunk != null; chunk = Http.chunk(input)) {
                            if (chunk.length == 0) {
                                end = "complete";
                                break;
                            }
                            events += new String(chunk, StandardCharsets.US_ASCII).split("\n\n").length;
                        }
                    }
                } catch (IOException e) {
                    end = "closed: " + e.getMessage();
                }
                long endedAt = fleet.now();
                fleet.note("client's answer to %s: %s, %d of %d events, %d ms after the request", id, end, events, EVENTS, endedAt - sentAt);
                boolean isEarly = endedAt >= stoppedAt[0] && endedAt - sentAt < DEADLINE_MILLIS && endedAt - stoppedAt[0] < EXCUSED_AFTER_MILLIS;
                if (end.equals("complete")) whole.incrementAndGet();
                if (!end.equals("complete") && isEarly) broken.incrementAndGet();
            });
            clients.add(client);
            client.start();
        }
        Thread.sleep(300);
        stoppedAt[0] = fleet.now();
        fleet.signal(instance, "TERM");
        for (Thread client : clients) client.join();
        fleet.note("%d answers complete, %d ended early while the servers were at work", whole.get(), broken.get());
        return broken.get();
    }
}
