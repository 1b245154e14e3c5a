import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** An entry of another writer that can't be read lies among the servers, and then the configuration changes. */
final class UnreadableEntry {
    private static final int ROUTERS = 3;
    private static final int BYTES = 4_000;

    private static final Map<String, String> ranAt = new ConcurrentHashMap<>();
    private static final AtomicInteger calls = new AtomicInteger();

    private static Http.Server desk(Store store, String id, String service) throws Exception {
        Http.Server server = new Http.Server((request, connection) -> {
            Map<String, String> headers = new LinkedHashMap<>();
            String call = request.headers.get("Attempt-Id");
            if (call != null) headers.put("Attempt-Id", call);
            if (!id.equals(request.headers.get("Expect-Instance"))) {
                connection.respond(421, headers, new byte[0]);
                return;
            }
            ranAt.put(call, service);
            Lab.record(id + " of " + service + " runs " + call);
            headers.put("Server-Stamp", id + "." + call);
            connection.respond(200, headers, service.getBytes(StandardCharsets.UTF_8));
        });
        store.put("servers/" + id, "{\"service\":\"" + service + "\",\"address\":\"" + server.address()
            + "\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"coldLeftMs\":0,\"sequence\":1,"
            + "\"born\":" + (System.currentTimeMillis() - 100_000) + "}");
        return server;
    }

    private static String config(int version, String service) {
        String route = "\"kind\":\"idempotent\",\"timeoutMs\":1000,\"latencyTargetMs\":200,\"priority\":0,\"service\":\""
            + service + "\",\"split\":[],\"maxAttempts\":2,\"sticky\":false,\"resumable\":false}";
        return "{\"version\":" + version + ",\"routes\":[{\"name\":\"open\",\"host\":\"h.example\",\"prefix\":\"/open/\","
            + "\"public\":true," + route + ",{\"name\":\"keyed\",\"host\":\"h.example\",\"prefix\":\"/keyed/\","
            + "\"public\":false," + route + "],\"services\":[{\"name\":\"first\",\"healthPath\":\"/health\","
            + "\"maxConns\":110},{\"name\":\"second\",\"healthPath\":\"/health\",\"maxConns\":110}],"
            + "\"tenants\":[{\"name\":\"acme\",\"apiKeys\":[\"key-1\"],\"ratePerS\":0,\"burst\":0}],"
            + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
            + "\"idleTimeoutMs\":15000}}";
    }

    private static String send(Lab.Router router, String path) {
        String id = String.format("%016x", 0x9000 + calls.incrementAndGet());
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", "h.example");
        headers.put("Attempt-Id", id);
        headers.put("Deadline-Ms", "1000");
        if (path.startsWith("/keyed")) headers.put("X-Api-Key", "key-1");
        Http.Response response = Http.call("127.0.0.1", router.port, "GET", path, headers, new byte[0], 1500);
        String at = ranAt.getOrDefault(id, "none");
        Lab.record("caller: " + path + " at " + router.name + " gets " + response.status + ", run by " + at);
        return response.status + " " + at;
    }

    public static void main(String[] args) throws Exception {
        Lab.open(args[0]);
        Store store = new Store();
        store.put("op/config", config(1, "first"));
        desk(store, "desk-1", "first");
        desk(store, "desk-2", "second");
        List<Lab.Router> routers = new ArrayList<>();
        for (int n = 1; n <= ROUTERS; n++) routers.add(Lab.router("front-" + n, "z" + n, store.server.address()));
        Lab.awaitReady(routers);
        Lab.sleep(3000);
        for (Lab.Router router : routers) {
            if (!send(router, "/open/x").equals("200 first") || !send(router, "/keyed/x").equals("200 first")) {
                Lab.cannotRun("the first configuration is not served");
            }
        }
        // Both entries can't be read. The second one stands for what the page calls bytes that can't be read.
        store.put("servers/other", Lab.TROUBLE ? "[".repeat(BYTES) : "[".repeat(10));
        Lab.record("an entry that can't be read lies under servers/");
        Lab.sleep(1000);
        store.put("op/config", config(4, "second"));
        long changed = Lab.millis();
        Lab.record("the configuration 4 moves both routes to the second service");
        Lab.sleep(2500);
        int old = 0;
        int keyedServed = 0;
        int keyed = 0;
        while (Lab.millis() - changed < 30_000) {
            for (Lab.Router router : routers) {
                if (send(router, "/open/x").endsWith(" first")) old++;
                keyed++;
                if (send(router, "/keyed/x").startsWith("200")) keyedServed++;
            }
            Lab.sleep(500);
        }
        for (Lab.Router router : routers) Lab.recordLog(router, "StackOverflow", "Exception in", "unreadable");
        Lab.say("requests run by the old service later than 2 s after the change=" + old + "; with a key served="
            + keyedServed + " of " + keyed);
        Lab.finish(old > 0);
    }
}
