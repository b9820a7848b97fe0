package second;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** DENIED: connections that were open when a configuration raised the size of heads go on with the former limit. */
final class LargeHead {
    private static final int CONNECTIONS = 24;
    private static final int FORMER = 16_384;
    private static final int RAISED = 65_536;
    private static final int HEAD = 24_000;

    public static void main(String[] arguments) {
        Trial.main(arguments, LargeHead::run);
    }

    private static boolean run(Trial trial) throws Exception {
        Server[] self = new Server[1];
        self[0] = new Server("i-desk-1", "desk", false, (request, connection) -> {
            trial.note("server runs " + request.header("Request-Id"));
            self[0].answer(request, connection, "filed");
        });
        trial.register(self[0]);
        configure(trial, 7, trial.hasTrouble ? FORMER : RAISED);
        trial.startInstances(2);
        List<Caller> callers = new ArrayList<>();
        for (int number = 0; number < CONNECTIONS; number++) {
            Caller caller = new Caller(trial.instances.get(number % 2).callers);
            callers.add(caller);
            send(trial, caller, "small-" + number, 100);
        }
        if (trial.hasTrouble) configure(trial, 9, RAISED);
        Thread.sleep(Trial.CONFIG_APPLY + 1_500);
        trial.note("from here on, only the last configuration is in force");
        int denied = 0;
        for (int number = 0; number < CONNECTIONS; number++) {
            int status = send(trial, callers.get(number), "large-" + number, HEAD);
            if (status >= 300 && status < 500 && status != 408 && status != 421 && status != 429) denied++;
        }
        for (int number = 0; number < 4; number++) {
            try (Caller caller = new Caller(trial.instances.get(number % 2).callers)) {
                send(trial, caller, "new-connection-" + number, HEAD);
            }
        }
        int requests = 2 * CONNECTIONS + 4;
        double allowed = 5 + requests / 500.0;
        trial.note("proper requests ended with a 4xx of the system's own: " + denied + " of " + requests + ", allowed: " + allowed);
        for (Caller caller : callers) caller.close();
        return denied <= allowed;
    }

    private static void configure(Trial trial, int version, int headerBytes) {
        trial.configure(Trial.configuration(version, List.of(Trial.route("stamp", "/stamp/", "unsafe", "desk", 600, 2, false)),
            List.of(Trial.plainService("desk")), List.of(Trial.tenant("mill", "key-mill", false)), headerBytes));
    }

    private static int send(Trial trial, Caller caller, String id, int headerBytes) {
        Map<String, String> headers = Map.of("Credential", "key-mill", "Plan-Notes", "x".repeat(headerBytes));
        Http.Response response = caller.send("POST", "desk.example", "/stamp/1", id, 600, headers, "b");
        trial.note(id + " with a head of about " + headerBytes + " bytes is answered " + (response == null ? "not at all" : response.status()));
        return response == null ? 0 : response.status();
    }
}
