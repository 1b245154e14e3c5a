import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Long streams at model servers that load new weights, some of which send a second copy of some answers. */
final class ControlCopy {
    private static final int SECONDS = 100;
    private static final int ENGINES = 5;
    private static final int FAULTY = 3;
    private static final double COPIES = 0.03;
    private static final int EVENT_MILLIS = 25;
    private static final int MOVE_MILLIS = 120;
    private static final int LOAD_MILLIS = 440;
    private static final int SLOTS = 48;
    private static final int PER_SECOND = 42;
    private static final int BUMP_MILLIS = 4000;

    private static final AtomicInteger copies = new AtomicInteger();
    private static final AtomicInteger moves = new AtomicInteger();
    private static final AtomicInteger notFound = new AtomicInteger();
    private static final Map<String, Integer> wrongAnswers = new ConcurrentHashMap<>();
    private static final Map<Integer, AtomicInteger> statuses = new ConcurrentHashMap<>();
    /** What servers answered to the requests of callers: call, and then each status. */
    private static final Map<String, List<Integer>> serverAnswers = new ConcurrentHashMap<>();
    /** Copies of runs, by the address of the source, a slash and the handle. */
    private static final Map<String, Copy> handles = new ConcurrentHashMap<>();
    private static final List<String> foreignMemory = Collections.synchronizedList(new ArrayList<>());
    private static final List<String> foreignEvents = Collections.synchronizedList(new ArrayList<>());

    /** A copy of the memory of the run of [call], which lies at the server with the address [target]. */
    private static final class Copy {
        final String call;
        final String target;

        Copy(String call, String target) {
            this.call = call;
            this.target = target;
        }
    }

    private static final class Run {
        volatile boolean stopped;
        volatile int made;
    }

    /** A server with weights that are loaded by order, once its runs have ended. */
    private static final class Engine {
        final String id;
        final boolean faulty;
        final Http.Server http;
        private final Random random = new Random();
        private final Map<String, Run> runs = new ConcurrentHashMap<>();
        private final Object link = new Object();
        private long version = 1;
        private long sequence;
        private long fence;
        private boolean busy;

        Engine(String id, boolean faulty) throws Exception {
            this.id = id;
            this.faulty = faulty;
            http = new Http.Server(this::handle);
        }

        synchronized void register(Store store, long born) {
            store.put("servers/" + id, "{\"service\":\"llm\",\"address\":\"" + http.address()
                + "\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":48,\"state\":\"ready\",\"coldLeftMs\":0,"
                + "\"stage\":\"colocated\",\"models\":[{\"name\":\"m\",\"version\":" + version
                + ",\"adapters\":[]}],\"sequence\":" + sequence + ",\"born\":" + born + "}");
        }

        /** Writes an answer, and perhaps keeps a second copy of it until the next answer is due. */
        private void answer(Http.Connection connection, String to, int status, Map<String, String> headers, String body)
                throws Exception {
            byte[] bytes = Http.encode(status, headers, body.getBytes(StandardCharsets.UTF_8));
            connection.write(bytes);
            if (faulty && Lab.inSpell() && random.nextDouble() < COPIES) {
                connection.lateCopy = bytes;
                Lab.record(id + " will send a second copy of " + status + " to " + to);
            }
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
                Lab.record(id + " sends a second copy before the answer to " + (call == null ? request.path() : call));
            }
            String path = request.path();
            if (!id.equals(request.headers.get("Expect-Instance"))) {
                answer(connection, path, 421, headers, "");
            } else if (path.equals("/lacewingweir/report")) {
                answer(connection, path, 200, headers, report());
            } else if (path.equals("/lacewingweir/order")) {
                answer(connection, path, order(Json.object(request.text())), headers, "");
            } else if (path.equals("/lacewingweir/kv-move")) {
                move(connection, headers, Json.object(request.text()));
            } else if (path.startsWith("/lacewingweir/kv-handle/")) {
                handles.remove(http.address() + path.substring(path.lastIndexOf('/')));
                answer(connection, path, 200, headers, "");
            } else {
                stream(request, connection, headers, call);
            }
        }

        private synchronized String report() {
            return "{\"stage\":\"colocated\",\"models\":[{\"name\":\"m\",\"version\":" + version
                + ",\"adapters\":[]}],\"busy\":" + busy + ",\"sequence\":" + sequence + ",\"waiting\":0,\"running\":"
                + runs.size() + ",\"kvUsed\":0,\"kvTotal\":200000,\"handles\":0}";
        }

        private synchronized int order(Map<String, Object> order) {
            long target = (Long) order.get("version");
            long token = (Long) order.get("fence");
            if (token < fence) return 412;
            fence = token;
            if (target == version) return 200;
            if (busy || (Long) order.get("expect") != sequence) return 409;
            sequence++;
            busy = true;
            Lab.daemon(() -> {
                while (!runs.isEmpty()) Lab.sleep(5);
                Lab.sleep(LOAD_MILLIS);
                synchronized (this) {
                    version = target;
                    busy = false;
                }
            });
            return 202;
        }

        /** Moves run one after the other over the link of the server. */
        private void move(Http.Connection connection, Map<String, String> headers, Map<String, Object> body)
                throws Exception {
            String call = (String) body.get("id");
            boolean last = Boolean.TRUE.equals(body.get("last"));
            moves.incrementAndGet();
            String handle;
            int made;
            synchronized (link) {
                Run run = runs.get(call);
                if (run != null && last) run.stopped = true;
                if (run != null) Lab.sleep(MOVE_MILLIS);
                if (run == null || !last && runs.get(call) != run) {
                    notFound.incrementAndGet();
                    handle = null;
                    made = 0;
                } else {
                    made = run.made;
                    handle = "h" + Integer.toHexString(random.nextInt(1 << 30));
                    handles.put(http.address() + "/" + handle, new Copy(call, (String) body.get("target")));
                }
            }
            Lab.record(id + " kv-move " + call + " last=" + last + " handle=" + handle);
            if (handle == null) {
                answer(connection, "kv-move", 404, headers, "");
            } else {
                answer(connection, "kv-move", 200, headers, "{\"handle\":\"" + handle + "\",\"createRev\":" + made + "}");
            }
        }

        private void stream(Http.Request request, Http.Connection connection, Map<String, String> headers, String call)
                throws Exception {
            String expected = request.headers.get("Expect-Version");
            String from = request.headers.get("Kv-From");
            Run run = new Run();
            Copy copy = null;
            int status = 200;
            synchronized (this) {
                headers.put("Weight-Versions", String.valueOf(version));
                if (expected != null && Long.parseLong(expected) != version) {
                    status = 421;
                } else if (from == null && (busy || runs.size() >= SLOTS)) {
                    status = 503;
                } else if (from != null && (copy = held(from)) == null) {
                    status = 503;
                } else {
                    runs.put(call, run);
                }
            }
            String memoryOf = copy == null ? call : copy.call;
            if (!memoryOf.equals(call)) {
                foreignMemory.add(call);
                Lab.record(id + " goes on with " + call + " from the memory of " + memoryOf + " handle=" + from);
            }
            note(call, status);
            Lab.record(id + " gets " + call + " from=" + from + " answers " + status);
            if (status != 200) {
                if (status == 503) headers.put("Not-Executed", "1");
                answer(connection, call, status, headers, "");
                return;
            }
            try {
                headers.put("Server-Stamp", id + "." + call);
                headers.put("Content-Type", "text/event-stream");
                headers.put("Transfer-Encoding", "chunked");
                StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\n");
                headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
                connection.write(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
                int events = 60 + (call.hashCode() & 0x3f);
                for (int n = 1 + Integer.parseInt(request.headers.getOrDefault("Last-Event-Id", "0")); n <= events; n++) {
                    Lab.sleep(EVENT_MILLIS);
                    if (run.stopped) {
                        connection.socket.close();
                        return;
                    }
                    String event = "id: " + n + "\ndata: " + memoryOf + "\n\n";
                    connection.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n")
                        .getBytes(StandardCharsets.UTF_8));
                    run.made = n;
                }
                connection.write("0\r\n\r\n".getBytes(StandardCharsets.UTF_8));
            } finally {
                runs.remove(call, run);
            }
        }

        /** Takes a copy that lies here, or that this server made itself. */
        private Copy held(String from) {
            Copy copy = handles.get(from);
            boolean here = copy != null
                && (copy.target.equals(http.address()) || from.startsWith(http.address() + "/"));
            return here ? handles.remove(from) : null;
        }

        private static void note(String call, int status) {
            serverAnswers.computeIfAbsent(call, key -> Collections.synchronizedList(new ArrayList<>())).add(status);
        }
    }

    public static void main(String[] args) throws Exception {
        Lab.open(args[0]);
        Store store = new Store();
        store.put("op/config", "{\"version\":1,\"routes\":[{\"name\":\"review\",\"host\":\"h.example\","
            + "\"prefix\":\"/review/\",\"kind\":\"stream\",\"timeoutMs\":15000,\"latencyTargetMs\":1000,\"priority\":1,"
            + "\"service\":\"llm\",\"split\":[],\"maxAttempts\":1,\"public\":false,\"sticky\":true,"
            + "\"resumable\":false,\"gapTargetMs\":300}],\"services\":[{\"name\":\"llm\",\"healthPath\":\"/health\","
            + "\"maxConns\":300,\"engine\":{\"slots\":48,\"kvCapTokens\":228731,\"moves\":true,"
            + "\"kvTokenBytes\":163840,\"linkMbps\":260000,\"models\":[{\"name\":\"m\"}]}}],"
            + "\"tenants\":[{\"name\":\"acme\",\"apiKeys\":[\"key-1\"],\"ratePerS\":0,\"burst\":0}],"
            + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
            + "\"idleTimeoutMs\":15000}}");
        store.put("op/version/m", "{\"model\":\"m\",\"version\":1}");
        long born = System.currentTimeMillis() - 100_000;
        List<Engine> engines = new ArrayList<>();
        for (int n = 1; n <= ENGINES; n++) {
            Engine engine = new Engine("e-" + n, n <= FAULTY);
            engines.add(engine);
            engine.register(store, born);
        }
        List<Lab.Router> routers = new ArrayList<>();
        for (int n = 1; n <= 2; n++) routers.add(Lab.router("front-" + n, "z1", store.server.address()));
        Lab.awaitReady(routers);
        Lab.sleep(2000);
        ExecutorService callers = Executors.newFixedThreadPool(200);
        Random random = new Random(1);
        long start = Lab.millis();
        long nextBump = start + 2000;
        long weights = 1;
        int sent = 0;
        while (Lab.millis() - start < SECONDS * 1000L) {
            Lab.Router router = routers.get(random.nextInt(routers.size()));
            String id = String.format("%016x", 0x1000 + sent++);
            callers.execute(() -> call(router, id));
            Lab.sleep((long) (-Math.log(1 - random.nextDouble()) * 1000 / PER_SECOND));
            if (Lab.millis() >= nextBump) {
                nextBump += BUMP_MILLIS;
                store.put("op/version/m", "{\"model\":\"m\",\"version\":" + ++weights + "}");
                Lab.record("weights " + weights + " are named");
            }
        }
        callers.shutdown();
        callers.awaitTermination(8, TimeUnit.SECONDS);
        wrongAnswers.forEach((id, status) -> Lab.say("MIXED: " + id + " was answered " + status
            + " by the system; servers answered it " + serverAnswers.get(id)));
        foreignEvents.forEach(id -> Lab.say("MIXED: the caller of " + id + " got events made from another's memory"));
        Lab.say("runs that went on from another's memory=" + foreignMemory.size() + " callers with foreign events="
            + foreignEvents.size() + " answers of control calls passed on=" + wrongAnswers.size());
        Lab.say("sent=" + sent + " statuses=" + new TreeMap<>(statuses) + " moves=" + moves + " not found=" + notFound
            + " second copies=" + copies);
        if (statuses.getOrDefault(200, new AtomicInteger()).get() < sent / 2) Lab.cannotRun("too few streams served");
        Lab.finish(!foreignMemory.isEmpty() || !wrongAnswers.isEmpty());
    }

    private static void call(Lab.Router router, String id) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", "h.example");
        headers.put("Attempt-Id", id);
        headers.put("Model", "m");
        headers.put("Token-Counts", "1200,160");
        headers.put("Prompt-Prefix", "cc" + id.substring(14) + ":800,dd" + id.substring(8) + ":400");
        headers.put("Deadline-Ms", "15000");
        headers.put("X-Api-Key", "key-1");
        Http.Response response = Http.call("127.0.0.1", router.port, "POST", "/review/x", headers,
            "prompt".getBytes(StandardCharsets.UTF_8), 8000);
        statuses.computeIfAbsent(response.status, key -> new AtomicInteger()).incrementAndGet();
        Lab.record("caller of " + id + " gets " + response.status + " complete=" + response.complete);
        // The route and the key exist all the time, and no server answers a caller's request with such a status.
        for (String line : response.text().split("\n")) {
            if (!line.startsWith("data: ") || line.equals("data: " + id)) continue;
            foreignEvents.add(id);
            Lab.record("caller of " + id + " gets an event made from the memory of " + line.substring(6));
            break;
        }
        boolean own = response.status == 503 || response.status == 502 || response.status == 504
            || response.status == 429 || response.status == 408;
        if (response.status != 0 && response.status != 200 && !own) wrongAnswers.put(id, response.status);
    }
}
