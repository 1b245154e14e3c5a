import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** Bookings at services of two servers that are full at times, one of which sends a second copy of some of its answers. */
final class LateCopy {
    private static final int SLOTS = 6;
    private static final int QUEUE = 4;
    private static final int SECONDS = 90;
    private static final int SERVICES = 3;
    private static final int PER_SECOND = 375;
    private static final double COPIES = 0.03;
    /** A way between zones, there and back, and a step of the server. */
    private static final int TRANSIT_MILLIS = 5;

    private static final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private static final Map<String, Integer> answers = new ConcurrentHashMap<>();
    private static final AtomicInteger copies = new AtomicInteger();
    private static final AtomicInteger refusals = new AtomicInteger();

    /** A server with slots and a short queue. A second copy of an answer waits until the next answer is due. */
    private static final class Desk {
        final String id;
        final boolean faulty;
        final Http.Server http;
        private final Random random = new Random(7);
        private final Semaphore slots = new Semaphore(SLOTS, true);
        private int accepted;

        Desk(String id, boolean faulty) throws Exception {
            this.id = id;
            this.faulty = faulty;
            http = new Http.Server(this::handle);
        }

        void register(Store store, String service, long born) {
            store.put("servers/" + id, "{\"service\":\"" + service + "\",\"address\":\"" + http.address()
                + "\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":" + SLOTS
                + ",\"state\":\"ready\",\"coldLeftMs\":0,\"sequence\":1,\"born\":" + born + "}");
        }

        private synchronized boolean begin() {
            if (accepted >= SLOTS + QUEUE) return false;
            accepted++;
            return true;
        }

        private synchronized void end() {
            accepted--;
        }

        private synchronized boolean draw() {
            return random.nextDouble() < COPIES;
        }

        private synchronized long work() {
            return 40 + random.nextInt(60);
        }

        private void handle(Http.Request request, Http.Connection connection) throws Exception {
            Map<String, String> headers = new LinkedHashMap<>();
            String call = request.headers.get("Attempt-Id");
            if (call != null) headers.put("Attempt-Id", call);
            headers.put("Keep-Alive", "timeout=5");
            byte[] copy = connection.lateCopy;
            connection.lateCopy = null;
            if (copy != null) {
                copies.incrementAndGet();
                connection.write(copy);
                Lab.record(id + " sends a second copy of an earlier answer before the answer to " + call);
            }
            byte[] answer;
            if (!id.equals(request.headers.get("Expect-Instance"))) {
                answer = Http.encode(421, headers, new byte[0]);
            } else if (!begin()) {
                refusals.incrementAndGet();
                Lab.sleep(TRANSIT_MILLIS);
                headers.put("Not-Executed", "1");
                answer = Http.encode(503, headers, new byte[0]);
                Lab.record(id + " refuses " + call + " with Not-Executed");
            } else {
                try {
                    slots.acquire();
                    int count = runs.computeIfAbsent(call, key -> new AtomicInteger()).incrementAndGet();
                    Lab.record(id + " runs " + call + " run=" + count);
                    Lab.sleep(work());
                } finally {
                    slots.release();
                    end();
                }
                headers.put("Server-Stamp", id + "." + call);
                answer = Http.encode(200, headers, ("booked " + call).getBytes(StandardCharsets.UTF_8));
            }
            connection.write(answer);
            if (faulty && Lab.inSpell() && draw()) {
                connection.lateCopy = answer;
            }
        }
    }

    public static void main(String[] args) throws Exception {
        Lab.open(args[0]);
        Store store = new Store();
        StringBuilder routes = new StringBuilder();
        StringBuilder services = new StringBuilder();
        long born = System.currentTimeMillis() - 100_000;
        for (int n = 1; n <= SERVICES; n++) {
            String comma = n > 1 ? "," : "";
            routes.append(comma).append("{\"name\":\"reserve-" + n + "\",\"host\":\"h.example\",\"prefix\":\"/reserve" + n
                + "/\",\"kind\":\"non_idempotent\",\"timeoutMs\":1000,\"latencyTargetMs\":200,\"priority\":0,"
                + "\"service\":\"desk-" + n + "\",\"split\":[],\"maxAttempts\":1,\"public\":false,\"sticky\":false,"
                + "\"resumable\":false}");
            services.append(comma).append("{\"name\":\"desk-" + n + "\",\"healthPath\":\"/health\",\"maxConns\":110}");
            new Desk("desk-" + n + "a", true).register(store, "desk-" + n, born);
            // The other server of the last service has been taken away.
            if (n < SERVICES) new Desk("desk-" + n + "b", false).register(store, "desk-" + n, born);
        }
        store.put("op/config", "{\"version\":1,\"routes\":[" + routes + "],\"services\":[" + services + "],"
            + "\"tenants\":[{\"name\":\"acme\",\"apiKeys\":[\"key-1\"],\"ratePerS\":0,\"burst\":0}],"
            + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
            + "\"idleTimeoutMs\":15000}}");
        List<Lab.Router> routers = new ArrayList<>();
        for (int n = 1; n <= 2; n++) routers.add(Lab.router("front-" + n, "z1", store.server.address()));
        Lab.awaitReady(routers);
        Lab.sleep(2000);
        ExecutorService callers = Executors.newFixedThreadPool(300);
        Random random = new Random(1);
        long start = Lab.millis();
        int sent = 0;
        while (Lab.millis() - start < SECONDS * 1000L) {
            Lab.Router router = routers.get(random.nextInt(routers.size()));
            String id = String.format("%016x", 0x1000 + sent++);
            int service = Math.min(SERVICES, 1 + random.nextInt(2 * SERVICES - 1) / 2);
            callers.execute(() -> book(router, service, id));
            Lab.sleep((long) (-Math.log(1 - random.nextDouble()) * 1000 / PER_SECOND));
        }
        callers.shutdown();
        callers.awaitTermination(5, java.util.concurrent.TimeUnit.SECONDS);
        Lab.sleep(500);
        int twice = 0;
        int refused = 0;
        int served = 0;
        for (Map.Entry<String, Integer> answer : answers.entrySet()) {
            int status = answer.getValue();
            int count = runs.containsKey(answer.getKey()) ? runs.get(answer.getKey()).get() : 0;
            if (status == 200) served++;
            if (count > 1) {
                twice++;
                Lab.say("TWICE: " + answer.getKey() + " ran " + count + " times, answered " + status);
            }
            if (count > 0 && (status == 503 || status == 429 || status == 408 || status == 421)) {
                refused++;
                Lab.say("REFUSED: " + answer.getKey() + " ran " + count + " times, answered " + status);
            }
        }
        Lab.say("sent=" + sent + " served=" + served + " refusals of servers=" + refusals + " second copies=" + copies
            + " twice=" + twice + " refused though run=" + refused);
        if (served < sent / 10) Lab.cannotRun("hardly any request was served");
        Lab.finish(twice + refused > 0);
    }

    private static void book(Lab.Router router, int service, String id) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", "h.example");
        headers.put("Attempt-Id", id);
        headers.put("Deadline-Ms", "1000");
        headers.put("X-Api-Key", "key-1");
        Http.Response response = Http.call("127.0.0.1", router.port, "POST", "/reserve" + service + "/lot", headers,
            "lot 7".getBytes(StandardCharsets.UTF_8), 1500);
        answers.put(id, response.status);
        Lab.record("caller of " + id + " gets " + response.status);
    }
}
