import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** Starts routers as processes with the run line of the deploy file, and writes the record of a case. */
final class Lab {
    /** Whether the disruption is played; run.sh passes on what it reads from the environment. */
    static final boolean TROUBLE = !"0".equals(System.getProperty("trouble"));
    private static final long START = System.nanoTime();
    private static PrintWriter record;
    private static Path folder;
    private static final List<Process> processes = new ArrayList<>();

    static final class Router {
        String name;
        int port;
        int readyPort;
        Process process;
        File log;
        private List<String> command;
        private Path settings;
        /** When the process started last, as in [millis]. */
        long startedAt;
    }

    static void open(String recordFile) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(Path.of(recordFile)), true);
        folder = Files.createTempDirectory("review");
        Thread.currentThread().setUncaughtExceptionHandler((thread, e) -> {
            e.printStackTrace();
            cannotRun(e.toString());
        });
        Runtime.getRuntime().addShutdownHook(new Thread(Lab::close));
        record("trouble=" + TROUBLE);
    }

    static long millis() {
        return System.nanoTime() / 1_000_000;
    }

    /** Whether a spell of a disruption of 5 s is on, as long as in the site file. Spells are a second apart. */
    static boolean inSpell() {
        return TROUBLE && (System.nanoTime() - START) / 1_000_000 % 6_000 < 5_000;
    }

    static synchronized void record(String line) {
        record.printf(Locale.ROOT, "%8.3f %s%n", (System.nanoTime() - START) / 1e9, line);
    }

    static void say(String line) {
        record(line);
        System.out.println(line);
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    private static int freeUdpPort() throws IOException {
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    /** Starts a router with settings like those of a small deployment. */
    static Router router(String name, String zone, String storeAddress) throws IOException {
        Router router = new Router();
        router.name = name;
        router.port = freePort();
        router.readyPort = freePort();
        int internal = freeUdpPort();
        String settings = "{\"name\":" + Json.quote(name) + ",\"failureDomain\":" + Json.quote(zone)
            + ",\"host\":\"127.0.0.1\",\"callerListen\":\"127.0.0.1:" + router.port
            + "\",\"readinessListen\":\"127.0.0.1:" + router.readyPort
            + "\",\"internalPorts\":[" + internal + "," + internal + "],\"storeAddress\":\"" + storeAddress
            + "\",\"bounds\":{\"keyWithdrawalMillis\":5000,\"weightsMillis\":8000,\"orderLeaseMillis\":3000,"
            + "\"shutdownSeconds\":8,\"repeatRatio\":0.2,\"repeatExtra\":56,\"rateWindowSeconds\":8,"
            + "\"repeatWindowSeconds\":10}}";
        Path file = folder.resolve(name + ".json");
        Files.writeString(file, settings);
        String run = Files.readAllLines(Path.of("deploy/system.toml")).stream()
            .filter(line -> line.startsWith("run = ")).findFirst().orElseThrow();
        List<String> command = Arrays.asList(run.substring(run.indexOf('"') + 1, run.lastIndexOf('"')).split(" "));
        router.command = command;
        router.settings = file;
        router.log = folder.resolve(name + ".log").toFile();
        start(router);
        return router;
    }

    /** Starts the process of a router, also again after it was killed. */
    static void start(Router router) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(router.command);
        builder.environment().put("LACEWINGWEIR_CONFIG", router.settings.toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(router.log));
        router.process = builder.start();
        router.startedAt = millis();
        synchronized (processes) {
            processes.add(router.process);
        }
    }

    /** Waits until each router says that it is ready. Ends the case with 2 if it doesn't. */
    static void awaitReady(List<Router> routers) {
        long end = millis() + 40_000;
        for (Router router : routers) {
            while (!isReady(router)) {
                if (millis() > end) cannotRun(router.name + " is not ready");
                sleep(100);
            }
        }
    }

    static boolean isReady(Router router) {
        return Http.call("127.0.0.1", router.readyPort, "GET", "/lacewingweir/ready", Map.of("Host", "x"), new byte[0],
            1000).status == 200;
    }

    /** Copies the lines of a router's log that contain one of [words] into the record. */
    static void recordLog(Router router, String... words) throws IOException {
        if (!router.log.exists()) return;
        for (String line : Files.readAllLines(router.log.toPath())) {
            if (Arrays.stream(words).anyMatch(line::contains)) record("log of " + router.name + ": " + line);
        }
    }

    static void cannotRun(String reason) {
        say("the case could not run: " + reason);
        System.exit(2);
    }

    static void finish(boolean broken) {
        say(broken ? "the rule was broken" : "the rule held");
        System.exit(broken ? 1 : 0);
    }

    private static void close() {
        synchronized (processes) {
            for (Process process : processes) process.destroyForcibly();
            for (Process process : processes) {
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    return;
                }
            }
        }
        if (System.getenv("KEEP") != null) {
            System.out.println(folder);
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            System.err.println(e.getMessage());
        }
    }
}
