package second;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** BUDGET: a plain request that crashes each server that runs it is sent on to servers again and again. */
final class Poison {
    private static final String POISON = "/look/poison";
    private static final long DOWN = 2_000;
    private static final long RUN = 30_000;
    private static final long POISON_PAUSE = 500;
    private static final long STAMP_PAUSE = 40;

    private record Arrival(long at, String id, String server) {}

    public static void main(String[] arguments) {
        Trial.main(arguments, Poison::run);
    }

    private static boolean run(Trial trial) throws Exception {
        List<Arrival> arrivals = new CopyOnWriteArrayList<>();
        List<Server> servers = new CopyOnWriteArrayList<>();
        for (int number = 1; number <= 4; number++) {
            Server[] self = new Server[1];
            self[0] = new Server("i-desk-" + number, "desk", false, (request, connection) -> {
                if (request.path().equals(POISON)) {
                    arrivals.add(new Arrival(trial.now(), request.header("Request-Id"), self[0].id));
                    trial.note(self[0].id + " runs " + request.header("Request-Id") + (trial.hasTrouble ? " and crashes" : ""));
                    if (trial.hasTrouble) {
                        self[0].crash(trial.store, DOWN);
                        return;
                    }
                }
                Thread.sleep(21);
                self[0].answer(request, connection, "done");
            });
            servers.add(self[0]);
            trial.register(self[0]);
        }
        trial.configure(Trial.configuration(7,
            List.of(Trial.route("stamp", "/stamp/", "unsafe", "desk", 600, 2, false),
                Trial.route("look", "/look/", "safe", "desk", 600, 2, false)),
            List.of(Trial.plainService("desk")), List.of(Trial.tenant("mill", "key-mill", false))));
        trial.startInstances(2);
        long end = trial.now() + RUN;
        AtomicInteger stamps = new AtomicInteger();
        AtomicInteger failed = new AtomicInteger();
        Thread ordinary = Http.thread(() -> {
            while (trial.now() < end) {
                String id = "stamp-" + stamps.incrementAndGet();
                Instance instance = trial.instances.get(stamps.get() % 2);
                Http.thread(() -> {
                    try (Caller caller = new Caller(instance.callers)) {
                        Http.Response response = caller.send("POST", "desk.example", "/stamp/1", id, 600, Map.of("Credential", "key-mill"), "b");
                        if (response == null || (response.status() != 200 && response.status() != 503)) {
                            failed.incrementAndGet();
                            trial.note(id + " is answered " + (response == null ? "not at all" : response.status()));
                        }
                    }
                });
                Thread.sleep(STAMP_PAUSE);
            }
        });
        for (int number = 1; trial.now() < end; number++) {
            Instance instance = trial.instances.get(number % 2);
            String id = "poison-" + number;
            trial.note("client sends " + id + " (GET " + POISON + ") to " + instance.name);
            try (Caller caller = new Caller(instance.callers)) {
                Http.Response response = caller.send("GET", "desk.example", POISON, id, 600, Map.of("Credential", "key-mill"), "");
                trial.note(id + " is answered " + (response == null ? "not at all" : response.status()));
            }
            Thread.sleep(POISON_PAUSE);
        }
        ordinary.join();
        trial.note("other requests: " + stamps.get() + " sent, " + failed.get() + " ended with neither success nor a promise");
        if (!trial.hasTrouble) return true;
        // The time at which the third server had crashed; a server that crashed twice by then counts once.
        Set<String> crashed = new HashSet<>();
        long bound = Long.MAX_VALUE;
        for (Arrival arrival : arrivals) {
            if (crashed.add(arrival.server()) && crashed.size() == 3) bound = arrival.at() + Trial.STABLE_WINDOW;
        }
        long from = bound;
        // What one attempt of the client brings to several servers counts once.
        long late = arrivals.stream().filter(arrival -> arrival.at() > from).map(Arrival::id).distinct().count();
        trial.note("crashes: " + arrivals.size() + "; retries that reached servers later than " + Trial.STABLE_WINDOW
            + " ms after the third server had crashed: " + late + ", allowed: 3");
        return late <= 3;
    }
}
