import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** All routers are killed while servers of two software versions serve; callers take their streams up afterwards. */
final class FleetKill {
    private static final int ROUTERS = 8;
    private static final int STREAMS = 40;
    private static final int EVENTS = 120;
    private static final int EVENT_MILLIS = 25;
    private static final int DEADLINE_MILLIS = 15_000;
    private static final int CONTACT_MILLIS = 3_000;
    private static final int MAX_TRIES = 3;

    private static final AtomicInteger takenUp = new AtomicInteger();
    private static final AtomicInteger wentOn = new AtomicInteger();

    public static void main(String[] args) throws Exception {
        Lab.open(args[0]);
        Store store = new Store();
        store.put("op/config", "{\"version\":1,\"routes\":[{\"name\":\"tag\",\"host\":\"h.example\","
            + "\"prefix\":\"/tag/\",\"kind\":\"stream\",\"timeoutMs\":15000,\"latencyTargetMs\":500,\"priority\":0,"
            + "\"service\":\"llm\",\"split\":[],\"maxAttempts\":2,\"public\":false,\"sticky\":true,"
            + "\"resumable\":true,\"gapTargetMs\":300}],\"services\":[{\"name\":\"llm\",\"healthPath\":\"/health\","
            + "\"maxConns\":300,\"engine\":{\"slots\":48,\"kvCapTokens\":200000,\"moves\":false,"
            + "\"models\":[{\"name\":\"m\"}]}}],\"tenants\":[{\"name\":\"acme\",\"apiKeys\":[\"key-1\"],"
            + "\"ratePerS\":0,\"burst\":0}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
            + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}");
        store.put("op/version/m", "{\"model\":\"m\",\"version\":1}");
        long born = System.currentTimeMillis() - 100_000;
        for (String version : List.of("v1", "v2")) {
            for (int n = 1; n <= 2; n++) {
                new StreamEngine("e-" + version + "-" + n, version, EVENTS, EVENT_MILLIS).register(store, born);
            }
        }
        List<Lab.Router> routers = new ArrayList<>();
        for (int n = 1; n <= ROUTERS; n++) {
            routers.add(Lab.router("front-" + n, "z" + (n % 3), store.server.address()));
        }
        Lab.awaitReady(routers);
        Lab.sleep(6000);
        List<Thread> threads = new ArrayList<>();
        List<CallerStream> streams = new ArrayList<>();
        for (int n = 0; n < STREAMS; n++) {
            int number = n;
            CallerStream stream = new CallerStream(DEADLINE_MILLIS);
            streams.add(stream);
            threads.add(Lab.daemon(() -> caller(stream, routers, number)));
        }
        Lab.sleep(1000);
        if (Lab.TROUBLE) {
            Lab.record("all routers are killed");
            for (Lab.Router router : routers) router.process.destroyForcibly();
            for (Lab.Router router : routers) router.process.waitFor();
            Lab.sleep(500);
            for (Lab.Router router : routers) Lab.start(router);
            Lab.record("all routers are started again");
        }
        Lab.awaitReady(routers);
        awaitTouch(routers);
        int begun = 0;
        for (int n = 0; n < 24; n++) {
            CallerStream stream = new CallerStream(DEADLINE_MILLIS);
            stream.attempt(routers.get(n % ROUTERS), 300);
            if (!stream.versions.isEmpty()) begun++;
        }
        for (Thread thread : threads) thread.join(30_000);
        int complete = 0;
        for (CallerStream stream : streams) if (stream.complete) complete++;
        for (Lab.Router router : routers) Lab.recordLog(router, "streams:");
        double share = takenUp.get() == 0 ? 1 : (double) wentOn.get() / takenUp.get();
        Lab.say("taken up at machines in touch=" + takenUp + ", of which went on=" + wentOn + "; new streams begun="
            + begun + " of 24; streams complete in the end=" + complete + " of " + STREAMS);
        if (begun < 12 || takenUp.get() < 12) Lab.cannotRun("too few streams");
        Lab.finish(share < 0.5 * begun / 24);
    }

    private static void awaitTouch(List<Lab.Router> routers) {
        for (Lab.Router router : routers) Lab.sleep(router.startedAt + CONTACT_MILLIS + 200 - Lab.millis());
    }

    /** Begins a stream, and takes it up a few times within the deadline, at other machines, as `Retry-After` says. */
    private static void caller(CallerStream stream, List<Lab.Router> routers, int number) {
        long end = Lab.millis() + DEADLINE_MILLIS;
        // Without the kill the caller breaks its channel itself.
        stream.attempt(routers.get(number % ROUTERS), Lab.TROUBLE ? 0 : 1000);
        Lab.sleep(100);
        for (int n = 1; n <= MAX_TRIES && !stream.complete && Lab.millis() < end; n++) {
            Lab.Router router = routers.get((number + n) % ROUTERS);
            // Consumers reach machines that are ready.
            while (!Lab.isReady(router) && Lab.millis() < end) Lab.sleep(200);
            if (n == 1) awaitTouch(List.of(router));
            int before = stream.versions.size();
            int status = stream.attempt(router);
            if (before > 0) {
                takenUp.incrementAndGet();
                if (stream.versions.size() > before) wentOn.incrementAndGet();
            }
            if (status != 503) continue;
            double seconds = Double.parseDouble(stream.lastResponse.headers.getOrDefault("Retry-After", "0.1"));
            Lab.sleep((long) (Math.min(seconds, (end - Lab.millis()) / 3000.0) * 1000));
        }
    }
}
