package second;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;

/** WALL: a tenant becomes isolated, and the parts that its requests made before serve another tenant's requests. */
final class Wall {
    private record Part(String salt, String chain) {}

    private record Use(String request, String tenant, String part, String maker) {}

    /** The KV cache of one server: parts are found only under the same text, and only if all parts before them are found too. */
    private static final class Cache {
        private final Map<Part, String> makers = new HashMap<>();

        synchronized List<Use> run(Http.Request request, String salt) {
            String tenant = request.header("Tenant");
            List<Use> uses = new ArrayList<>();
            String chain = "";
            boolean isCached = true;
            for (String part : request.header("Prompt-Prefix").split(",")) {
                chain += "/" + part;
                Part key = new Part(salt, chain);
                isCached = isCached && makers.containsKey(key);
                if (isCached) uses.add(new Use(request.header("Request-Id"), tenant, part, makers.get(key)));
                else makers.put(key, tenant);
            }
            return uses;
        }
    }

    private static final int REQUESTS = 5;

    public static void main(String[] arguments) {
        Trial.main(arguments, Wall::run);
    }

    private static boolean run(Trial trial) throws Exception {
        List<Use> uses = new CopyOnWriteArrayList<>();
        for (int number = 1; number <= 2; number++) {
            Cache cache = new Cache();
            Server[] self = new Server[1];
            self[0] = new Server("i-engine-" + number, "layout", true, (request, connection) -> {
                String salt = request.header("Cache-Salt");
                List<Use> used = cache.run(request, salt == null ? "" : salt);
                uses.addAll(used);
                trial.note(self[0].id + " runs " + request.header("Request-Id") + ", Tenant " + request.header("Tenant") + ", Cache-Salt " + salt
                    + ", Expect-Version " + request.header("Expect-Version") + ", from its cache: " + used);
                self[0].beginStream(request, connection);
                self[0].sendEvent(connection, 1, "token");
                self[0].endStream(connection);
            });
            trial.register(self[0]);
        }
        configure(trial, 7, false);
        trial.startInstances(2);
        send(trial, "mill", "key-mill", "before");
        if (trial.hasTrouble) configure(trial, 9, true);
        Thread.sleep(Trial.CONFIG_APPLY + 1_500);
        trial.note("from here on, only the last configuration is in force");
        int first = uses.size();
        send(trial, "ferry", "key-ferry", "after");
        send(trial, "mill", "key-mill", "later");
        Set<String> isolated = trial.hasTrouble ? Set.of("mill") : Set.of();
        List<Use> broken = uses.subList(first, uses.size()).stream().filter(use -> !use.tenant().equals(use.maker()))
            .filter(use -> isolated.contains(use.tenant()) || isolated.contains(use.maker())).toList();
        trial.note("uses of parts of another tenant while one of the two is isolated: " + broken.size());
        broken.forEach(use -> trial.note("  " + use));
        return broken.isEmpty();
    }

    private static void configure(Trial trial, int version, boolean isolated) {
        List<String> routes = List.of(Trial.route("plan", "/plan/", "streaming", "layout", 6_000, 2, true));
        List<String> tenants = List.of(Trial.tenant("mill", "key-mill", isolated), Trial.tenant("ferry", "key-ferry", false));
        trial.configure(Trial.configuration(version, routes, List.of(Trial.engineService("layout")), tenants));
    }

    /** Sends requests of one tenant, whose prompts begin with the same two parts, to all machines in turn. */
    private static void send(Trial trial, String tenant, String key, String phase) throws Exception {
        for (int number = 0; number < REQUESTS; number++) {
            Instance instance = trial.instances.get(number % trial.instances.size());
            String id = tenant + "-" + phase + "-" + number;
            Map<String, String> headers = Map.of("Credential", key, "Model", "model-a", "Token-Counts", "1300,20",
                "Prompt-Prefix", "5c1e07a2:800,91bd3f06:400," + Integer.toHexString(id.hashCode()) + ":100");
            try (Caller caller = new Caller(instance.callers)) {
                trial.note(tenant + " sends " + id + " to " + instance.name);
                Http.Response response = caller.send("POST", "desk.example", "/plan/1", id, 6_000, headers, "");
                trial.note(id + " is answered " + (response == null ? "not at all" : response.status() + ", whole: " + response.whole()));
                if (response == null || response.status() != 200) throw new IllegalStateException(id + " was not served");
            }
        }
    }
}
