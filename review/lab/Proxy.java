import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** Forwards TCP connections to a port on loopback. While [silent], no byte passes in either direction. */
final class Proxy {
    volatile boolean silent;
    private final ServerSocket listener;
    private final int target;

    Proxy(int target) throws IOException {
        this.target = target;
        listener = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
        Lab.daemon(this::accept);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    private void accept() {
        while (true) {
            try {
                Socket client = listener.accept();
                Socket server = new Socket("127.0.0.1", target);
                client.setTcpNoDelay(true);
                server.setTcpNoDelay(true);
                Lab.daemon(() -> pump(client, server));
                Lab.daemon(() -> pump(server, client));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void pump(Socket from, Socket to) {
        byte[] buffer = new byte[65536];
        try (from; to) {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            int count;
            while ((count = in.read(buffer)) >= 0) {
                while (silent) Lab.sleep(5);
                out.write(buffer, 0, count);
                out.flush();
            }
        } catch (IOException e) {
            // One side closed the connection.
        }
    }
}
