package second;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** BUDGET: each machine that is stopped and started again forgets which request crashes servers. */
final class RollingPoison {
    private static final String POISON = "/ask/poison";
    private static final int MACHINES = 3;
    private static final long DOWN = 3_000;
    private static final long POISON_PAUSE = 1_100;
    private static final long ORDINARY_PAUSE = 60;
    private static final int KNOWN_CRASHES = 3;
    private static final long CRASH_LIMIT = 15_000;

    private record Arrival(long at, String id, String server) {}

    /** When a machine was last started, and since when it is being stopped; 0 if it isn't. */
    private static final class Machine {
        volatile long startedAt;
        volatile boolean isReady = true;
    }

    public static void main(String[] arguments) {
        Trial.main(arguments, RollingPoison::run);
    }

    private static boolean run(Trial trial) throws Exception {
        List<Arrival> arrivals = new CopyOnWriteArrayList<>();
        for (int number = 1; number <= 6; number++) {
            Server[] self = new Server[1];
            self[0] = new Server("i-engine-" + number, "layout", true, (request, connection) -> {
                if (request.path().equals(POISON)) {
                    arrivals.add(new Arrival(trial.now(), request.header("Request-Id"), self[0].id));
                    trial.note(self[0].id + " runs " + request.header("Request-Id") + " and crashes");
                    self[0].crash(trial.store, DOWN);
                    return;
                }
                self[0].beginStream(request, connection);
                for (int event = 1; event <= 20; event++) {
                    self[0].sendEvent(connection, event, "token");
                    Thread.sleep(25);
                }
                self[0].endStream(connection);
            });
            trial.register(self[0]);
        }
        trial.configure(Trial.configuration(7, List.of(Trial.route("ask", "/ask/", "streaming", "layout", 6_000, 1, false)),
            List.of(Trial.engineService("layout")), List.of(Trial.tenant("mill", "key-mill", false))));
        trial.startInstances(MACHINES);
        List<Machine> machines = new ArrayList<>();
        for (int number = 0; number < MACHINES; number++) machines.add(new Machine());
        AtomicInteger sent = new AtomicInteger();
        AtomicInteger cut = new AtomicInteger();
        AtomicBoolean isOver = new AtomicBoolean();
        Http.thread(() -> {
            while (!isOver.get()) {
                int number = sent.incrementAndGet();
                Instance instance = ready(trial, machines, number);
                if (instance != null) Http.thread(() -> ask(trial, instance, "ask-" + number, cut, isOver));
                Thread.sleep(ORDINARY_PAUSE);
            }
        });
        Map<String, Boolean> isInTouch = new ConcurrentHashMap<>();
        Http.thread(() -> {
            for (int number = 1; !isOver.get(); number++) {
                Instance instance = ready(trial, machines, number);
                if (instance != null) {
                    String id = "poison-" + number;
                    Machine machine = machines.get(trial.instances.indexOf(instance));
                    isInTouch.put(id, trial.now() - machine.startedAt > Trial.STABLE_WINDOW);
                    trial.note("client sends " + id + " to " + instance.name + ", in touch: " + isInTouch.get(id));
                    Http.Response response = poison(instance, id);
                    trial.note(id + " is answered " + (response == null ? "not at all" : response.status()));
                }
                Thread.sleep(POISON_PAUSE);
            }
        });
        long limit = trial.now() + CRASH_LIMIT;
        while (thirdServerAt(arrivals) < 0) {
            if (trial.now() > limit) throw new IllegalStateException("the request does not reach three servers");
            Thread.sleep(50);
        }
        trial.note("the request has crashed " + KNOWN_CRASHES + " servers");
        Thread.sleep(Trial.STABLE_WINDOW + 1_000);
        for (int number = 0; number < MACHINES; number++) {
            Machine machine = machines.get(number);
            Instance instance = trial.instances.get(number);
            if (trial.hasTrouble) {
                trial.note(instance.name + " gets SIGTERM");
                machine.isReady = false;
                instance.roll();
                machine.startedAt = trial.now();
                trial.note(instance.name + " is started again");
                while (!instance.isReady()) Thread.sleep(20);
                machine.isReady = true;
                trial.note(instance.name + " is ready");
            }
            Thread.sleep(Trial.STABLE_WINDOW + 7_500);
        }
        isOver.set(true);
        long bound = thirdServerAt(arrivals) + Trial.STABLE_WINDOW;
        List<Arrival> late = arrivals.stream().filter(arrival -> arrival.at() > bound && isInTouch.get(arrival.id())).toList();
        trial.note("other requests: " + sent.get() + " sent, " + cut.get() + " of those that began to be answered were cut");
        trial.note("crashes: " + arrivals.size() + "; retries that machines in touch sent on later than " + Trial.STABLE_WINDOW
            + " ms after the third server had crashed: " + late.size() + ", allowed: 3 " + late);
        return late.size() <= 3;
    }

    /** Returns when the third server had crashed, of which one that crashed twice counts once; -1 before that. */
    private static long thirdServerAt(List<Arrival> arrivals) {
        Set<String> crashed = new HashSet<>();
        for (Arrival arrival : arrivals) {
            if (crashed.add(arrival.server()) && crashed.size() == KNOWN_CRASHES) return arrival.at();
        }
        return -1;
    }

    /** Returns a machine that is ready, in turn; null if that whose turn it is isn't. */
    private static Instance ready(Trial trial, List<Machine> machines, int number) {
        int index = number % MACHINES;
        return machines.get(index).isReady ? trial.instances.get(index) : null;
    }

    private static Map<String, String> headers(String parts) {
        Map<String, String> headers = new HashMap<>(Map.of("Credential", "key-mill", "Model", "model-a", "Token-Counts", "900,20"));
        headers.put("Prompt-Prefix", parts);
        return headers;
    }

    /** The path, the caller and the body are the same each time. */
    private static Http.Response poison(Instance instance, String id) {
        try (Caller caller = new Caller(instance.callers)) {
            return caller.send("POST", "desk.example", POISON, id, 6_000, headers("5c1e07a2:800,badc0de:100"), "the same body");
        } catch (java.io.IOException down) {
            return null;
        }
    }

    private static void ask(Trial trial, Instance instance, String id, AtomicInteger cut, AtomicBoolean isOver)
        throws Exception {
        try (Caller caller = new Caller(instance.callers)) {
            String parts = "5c1e07a2:800," + Integer.toHexString(id.hashCode()) + ":100";
            Http.Response response = caller.send("POST", "desk.example", "/ask/" + id, id, 6_000, headers(parts), id);
            if (response != null && response.status() == 200 && !response.whole() && !isOver.get()) {
                cut.incrementAndGet();
                trial.note(id + " is cut in the middle of its stream");
            }
        }
    }
}
