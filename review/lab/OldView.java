import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Streams that begin at a new software version, break off, and are taken up at a machine that the store ignores. */
final class OldView {
    private static final int ROUTERS = 8;
    private static final int STREAMS = 48;
    private static final int ROUNDS = 3;
    private static final int EVENTS = 40;
    private static final int EVENT_MILLIS = 25;

    private static final AtomicInteger calls = new AtomicInteger();

    /** A model server. Each event names the software version that wrote it. */
    private static final class Engine {
        final String id;
        final String version;
        final Http.Server http;
        final Set<String> began = ConcurrentHashMap.newKeySet();

        Engine(String id, String version) throws Exception {
            this.id = id;
            this.version = version;
            http = new Http.Server(this::handle);
        }

        void register(Store store, long born) {
            store.put("servers/" + id, "{\"service\":\"llm\",\"address\":\"" + http.address()
                + "\",\"zone\":\"z1\",\"version\":\"" + version + "\",\"slots\":48,\"state\":\"ready\","
                + "\"coldLeftMs\":0,\"stage\":\"colocated\",\"models\":[{\"name\":\"m\",\"version\":1,"
                + "\"adapters\":[]}],\"sequence\":1,\"born\":" + born + "}");
        }

        private void handle(Http.Request request, Http.Connection connection) throws Exception {
            Map<String, String> headers = new LinkedHashMap<>();
            String call = request.headers.get("Attempt-Id");
            if (call != null) headers.put("Attempt-Id", call);
            if (request.path().equals("/lacewingweir/report")) {
                connection.json(200, headers, "{\"stage\":\"colocated\",\"models\":[{\"name\":\"m\",\"version\":1,"
                    + "\"adapters\":[]}],\"busy\":false,\"sequence\":0,\"waiting\":0,\"running\":0,\"kvUsed\":0,"
                    + "\"kvTotal\":200000,\"handles\":0}");
                return;
            }
            if (!id.equals(request.headers.get("Expect-Instance"))) {
                connection.respond(421, headers, new byte[0]);
                return;
            }
            int from = Integer.parseInt(request.headers.getOrDefault("Last-Event-Id", "0"));
            Lab.record(id + " (" + version + ") runs " + call + " after event " + from + " resumes="
                + request.headers.get("Resumes"));
            StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\n");
            headers.put("Server-Stamp", id + "." + call);
            headers.put("Weight-Versions", "1");
            headers.put("Content-Type", "text/event-stream");
            headers.put("Transfer-Encoding", "chunked");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            connection.write(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
            began.add(call);
            for (int n = from + 1; n <= EVENTS; n++) {
                Lab.sleep(EVENT_MILLIS);
                byte[] event = ("id: " + n + "\ndata: " + version + "\n\n").getBytes(StandardCharsets.UTF_8);
                connection.write((Integer.toHexString(event.length) + "\r\n"
                    + new String(event, StandardCharsets.UTF_8) + "\r\n").getBytes(StandardCharsets.UTF_8));
            }
            connection.write("0\r\n\r\n".getBytes(StandardCharsets.UTF_8));
        }
    }

    /** A stream as its caller sees it, over all its tries. */
    private static final class Stream {
        String firstCall;
        final List<String> versions = new ArrayList<>();
        boolean complete;
        final List<String> tries = new ArrayList<>();
    }

    private static void attempt(Stream stream, Lab.Router router) {
        String id = String.format("%016x", 0x5000 + calls.incrementAndGet());
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", "h.example");
        headers.put("Attempt-Id", id);
        headers.put("Model", "m");
        headers.put("Token-Counts", "300,40");
        headers.put("Prompt-Prefix", "aa" + id.substring(14) + ":200,bb" + id.substring(8) + ":100");
        headers.put("Deadline-Ms", "4000");
        headers.put("X-Api-Key", "key-1");
        if (!stream.versions.isEmpty()) {
            headers.put("Last-Event-Id", String.valueOf(stream.versions.size()));
            headers.put("Resumes", stream.firstCall);
        }
        Http.Response response = Http.call("127.0.0.1", router.port, "POST", "/tag/x", headers,
            "prompt".getBytes(StandardCharsets.UTF_8), 3000);
        int before = stream.versions.size();
        if (response.status == 200) {
            String[] events = (response.text() + " ").split("\n\n");
            for (int n = 0; n < events.length - 1; n++) {
                stream.versions.add(events[n].substring(events[n].indexOf("data: ") + 6));
            }
        }
        stream.complete = response.status == 200 && response.complete;
        if (before == 0 && !stream.versions.isEmpty()) stream.firstCall = id;
        stream.tries.add(router.name + ":" + response.status);
        Lab.record("caller: try " + id + " at " + router.name + " status=" + response.status + " events "
            + (before + 1) + ".." + stream.versions.size() + " complete=" + stream.complete);
    }

    /**
     * Two servers of a new version start and crash while the store ignores two of the machines. Returns the streams
     * that began shortly before the crash.
     */
    private static List<Stream> round(Store store, List<Lab.Router> routers, List<Proxy> paths, String version)
            throws Exception {
        // The store serves the other machines and the operator meanwhile.
        int ignored = ROUTERS / 4;
        List<Lab.Router> cut = routers.subList(0, ignored);
        List<Lab.Router> sound = routers.subList(ignored, ROUTERS);
        if (Lab.TROUBLE) {
            Lab.record("the store ignores " + ignored + " machines from now on");
            for (int n = 0; n < ignored; n++) paths.get(n).silent = true;
        }
        Lab.record("two servers of version " + version + " register");
        List<Engine> fresh = List.of(new Engine("e-1-" + version, version), new Engine("e-2-" + version, version));
        for (Engine engine : fresh) engine.register(store, System.currentTimeMillis());
        Lab.sleep(300);
        List<Stream> streams = new ArrayList<>();
        List<Thread> threads = new ArrayList<>();
        for (int n = 0; n < STREAMS; n++) {
            Stream stream = new Stream();
            streams.add(stream);
            Lab.Router first = sound.get(n % sound.size());
            Lab.Router second = cut.get(n % cut.size());
            Lab.Router third = sound.get((n + 1) % sound.size());
            threads.add(Lab.daemon(() -> {
                attempt(stream, first);
                for (Lab.Router next : List.of(second, third)) {
                    if (stream.complete) break;
                    Lab.sleep(50);
                    attempt(stream, next);
                }
            }));
            Lab.sleep(8);
        }
        Lab.sleep(200);
        Lab.record("the servers of version " + version + " crash");
        for (Engine engine : fresh) engine.http.crash();
        for (Thread thread : threads) thread.join(20_000);
        for (Proxy path : paths) path.silent = false;
        Lab.record("the store serves all machines again");
        // Three intervals of silence after the crash.
        Lab.sleep(2500);
        for (Engine engine : fresh) store.remove("servers/" + engine.id);
        return streams;
    }

    public static void main(String[] args) throws Exception {
        Lab.open(args[0]);
        Store store = new Store();
        store.put("op/config", "{\"version\":1,\"routes\":[{\"name\":\"tag\",\"host\":\"h.example\","
            + "\"prefix\":\"/tag/\",\"kind\":\"stream\",\"timeoutMs\":4000,\"latencyTargetMs\":500,\"priority\":0,"
            + "\"service\":\"llm\",\"split\":[],\"maxAttempts\":2,\"public\":false,\"sticky\":true,"
            + "\"resumable\":true,\"gapTargetMs\":300}],\"services\":[{\"name\":\"llm\",\"healthPath\":\"/health\","
            + "\"maxConns\":300,\"engine\":{\"slots\":48,\"kvCapTokens\":200000,\"moves\":false,"
            + "\"models\":[{\"name\":\"m\"}]}}],\"tenants\":[{\"name\":\"acme\",\"apiKeys\":[\"key-1\"],"
            + "\"ratePerS\":0,\"burst\":0}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
            + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}");
        store.put("op/version/m", "{\"model\":\"m\",\"version\":1}");
        long born = System.currentTimeMillis() - 100_000;
        for (int n = 1; n <= 2; n++) new Engine("e-old-" + n, "v1").register(store, born);
        List<Lab.Router> routers = new ArrayList<>();
        List<Proxy> paths = new ArrayList<>();
        for (int n = 1; n <= ROUTERS; n++) {
            Proxy path = new Proxy(store.server.port());
            paths.add(path);
            routers.add(Lab.router("front-" + n, "z" + (n % 3), path.address()));
        }
        Lab.awaitReady(routers);
        Lab.sleep(6000);
        int mixed = 0;
        int atNew = 0;
        for (int round = 2; round <= 1 + ROUNDS && mixed <= 2; round++) {
            List<Stream> streams = round(store, routers, paths, "v" + round);
            for (Stream stream : streams) {
                Set<String> versions = new TreeSet<>(stream.versions);
                if (versions.contains("v" + round)) atNew++;
                if (versions.size() > 1) {
                    mixed++;
                    Lab.say("ORDER: stream begun by " + stream.firstCall + " holds events of " + versions
                        + " tries=" + stream.tries);
                }
            }
            if (round <= ROUNDS && mixed <= 2) Lab.sleep(31_000);
        }
        for (Lab.Router router : routers) Lab.recordLog(router, "resumes=0", "streams:");
        Lab.say("streams begun at new versions=" + atNew + " with events of two versions=" + mixed);
        if (atNew < 5) Lab.cannotRun("too few streams began at the new version");
        Lab.finish(mixed > 2);
    }
}
